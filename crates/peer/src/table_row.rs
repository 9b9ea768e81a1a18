use super::*;

/// A row of a table of the installation's store, as sent between hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Lowest level of coverage that includes the upstream of this row; 0 for a row that every host
    /// knows.
    pub level: u8,
    /// Whether the row was removed.
    pub removed: bool,
    /// Revision of the store at which the row was written or removed.
    pub revision: u64,
    /// Value of the row; empty if the row was removed.
    pub value: Vec<u8>,
}
