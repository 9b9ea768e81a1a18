use super::*;

/// A row of a table of the installation's store, as hosts tell it to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRow {
    /// Its key.
    pub key: String,
    /// Level from which on a host's working set holds the upstream of this row; 0 for a row
    /// that every host knows.
    pub level: u8,
    /// Whether it was removed.
    pub removed: bool,
    /// Revision of the store at which it was written or removed.
    pub revision: u64,
    /// Its value; empty if it was removed.
    pub value: Vec<u8>,
}
