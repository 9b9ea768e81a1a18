use super::*;

/// What became of one operation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableResult {
    /// Whether it took effect.
    pub applied: bool,
    /// The row as it is now; `None` if there is none.
    pub row: Option<Row>,
}

/// What became of a batch, in the order of its operations.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableResults {
    /// One for each operation.
    pub results: Vec<TableResult>,
}
