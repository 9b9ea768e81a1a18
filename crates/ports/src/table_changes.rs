/// Changes of the upstreams' table, for hosts that do not follow the store themselves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableChanges {
    /// Revision of the store after which they came.
    pub after: u64,
    /// Revision up to which they are all.
    pub revision: u64,
    /// The rows as the installation writes them, joined by commas; empty if there are none.
    pub rows: String,
}
