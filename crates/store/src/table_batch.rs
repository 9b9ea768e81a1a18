use super::*;

/// Several writes in one call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableBatch {
    /// Whether the batch takes effect as a whole or not at all. If `false`, each operation succeeds
    /// or fails independently.
    pub atomic: bool,
    /// The operations; each must be on a different row.
    pub operations: Vec<TableOperation>,
}
