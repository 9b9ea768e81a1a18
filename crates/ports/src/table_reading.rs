use super::*;

/// What the installation's store said of one of its tables, for hosts that do not ask the
/// store themselves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableReading {
    /// What it said.
    pub news: TableNews,
    /// The table.
    pub table: SharedTable,
}
