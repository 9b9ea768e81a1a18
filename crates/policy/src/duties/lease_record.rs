use super::*;

/// Position of the store's era in a fencing token, above the counter.
const ERA_SHIFT: u32 = 32;

/// Fencing token, which is greater for each later holder of a lease.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// The token as a number, as upstream interfaces take it.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Token of the holder that replaces the lease at a position of the store. The era is in the
    /// upper bits and the revision in the lower ones, because a store that was restored from an
    /// older copy may have lost the record with the last token.
    #[must_use]
    pub fn next(self, replaced: StorePosition) -> Self {
        let era = u64::from(replaced.era.get()) << ERA_SHIFT;
        let revision = replaced.revision.min(u64::from(u32::MAX) >> 1);
        Self(self.0.max(era | revision).saturating_add(1))
    }

    /// Token with which a holder goes on in a later era of the store; the same one within an era.
    #[must_use]
    pub(crate) fn continued_at(self, position: StorePosition) -> Self {
        if self.era() < position.era {
            self.next(position)
        } else {
            self
        }
    }

    /// Era of the store in which the token was issued.
    pub fn era(self) -> StoreEra {
        StoreEra::new((self.0 >> ERA_SHIFT) as u32)
    }
}

impl Display for FencingToken {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The lease as stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Host that holds the lease.
    pub host: HostId,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Other hosts that held the lease before, the latest first.
    pub previous: Vec<HostId>,
    /// Whether the holder has released the lease and does nothing under it any more.
    pub released: bool,
    /// Fencing token of the holder.
    pub token: FencingToken,
}

/// A stored lease and its version in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredLease {
    /// Era of the store in which the lease was read or written.
    pub era: StoreEra,
    /// Stored record.
    pub record: LeaseRecord,
    /// Version that a conditional write in the same era expects.
    pub version: u64,
}

impl StoredLease {
    /// Position of the lease in the store.
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.version)
    }

    /// Whether the holder wrote the record before the store was restored and has not renewed it
    /// since. A later holder may have been lost with the restore.
    pub(crate) fn is_of_earlier_era(&self) -> bool {
        self.record.token.era() < self.era
    }
}
