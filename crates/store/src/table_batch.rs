use super::*;

/// Several writes in one call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableBatch {
    /// All or none; else each operation stands by itself.
    pub atomic: bool,
    /// The operations, each on another row.
    pub operations: Vec<TableOperation>,
}
