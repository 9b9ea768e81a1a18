use super::*;

/// Several writes in one call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableBatch {
    /// Whether the batch is all-or-nothing. If `false`, each operation succeeds or fails on its own.
    pub atomic: bool,
    /// The operations; each must be on a different row.
    pub operations: Vec<TableOperation>,
}
