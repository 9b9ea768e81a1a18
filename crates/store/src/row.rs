use super::*;

/// One row of the table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Number of writes to this row so far, starting at 1.
    pub row_version: u64,
    /// Value.
    pub value: Value,
}
