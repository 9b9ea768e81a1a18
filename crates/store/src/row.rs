use super::*;

/// One row of the table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Counts the writes to this row, from 1.
    pub row_version: u64,
    /// Value.
    pub value: Value,
}
