use super::*;

/// Result of one operation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableResult {
    /// Whether the operation took effect.
    pub applied: bool,
    /// The row after the operation; `None` if the row does not exist.
    pub row: Option<Row>,
}

/// Results of a batch, in the order of its operations.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableResults {
    /// One result per operation.
    pub results: Vec<TableResult>,
}
