use super::*;

/// Where a host received what is in a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableSource {
    /// Another host passed it on, some time after the store did.
    Host,
    /// The store itself.
    Store,
}

/// What the installation's store said of one of its tables, for hosts that do not ask the
/// store themselves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharedTableUpdate {
    /// Which upstreams it said it of; of no use for the table of hosts.
    pub coverage: Coverage,
    /// How upstreams are divided; empty where that was announced before.
    pub divided: Vec<ServiceDivision>,
    /// Hosts of the whole installation, as far as that is known.
    pub hosts_in_all: u32,
    /// What it said.
    pub update: TableUpdate,
    /// Who said it.
    pub source: TableSource,
    /// The table.
    pub table: SharedTable,
}

impl SharedTableUpdate {
    /// What was said of a table that is not divided. How many hosts there are is left open.
    pub fn new(table: SharedTable, update: TableUpdate, source: TableSource) -> Self {
        Self {
            coverage: Coverage::default(),
            divided: Vec::new(),
            hosts_in_all: 0,
            update,
            source,
            table,
        }
    }
}
