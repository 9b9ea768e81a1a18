use super::*;

/// Position in the changes of the installation's store.
///
/// A store that was restored from an older copy gives out its revisions again, so revisions can
/// only be compared within an era. A later era has the later positions, whatever their revisions.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StorePosition {
    // The derived order compares the era first.
    /// Era in which the store gave out the revision.
    pub era: StoreEra,
    /// Revision of the store.
    pub revision: u64,
}

impl StorePosition {
    /// Creates the position of a revision in an era.
    pub const fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl Display for StorePosition {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}
