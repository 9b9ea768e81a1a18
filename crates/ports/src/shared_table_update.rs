use super::*;

/// From where a host received the content of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TableSource {
    /// From another host, which received the content from the store some time before.
    Host,
    /// From the store itself.
    Store,
}

/// An update of a table of the installation's store, for hosts that do not read the store
/// themselves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharedTableUpdate {
    /// Which upstreams the update covers. Not used for the host table.
    pub coverage: Coverage,
    /// How the upstreams are divided; empty if that was announced before.
    pub divided: Vec<ServiceDivision>,
    /// Era of the store in which the revisions of the update were given out.
    pub era: StoreEra,
    /// Number of hosts in the whole installation; 0 if it is not known.
    pub hosts_in_all: u32,
    /// The changed rows, or the whole table.
    pub update: TableUpdate,
    /// Where the update comes from.
    pub source: TableSource,
    /// The table that is updated.
    pub table: SharedTable,
}

impl SharedTableUpdate {
    /// Creates an update of a table that is not divided, without the number of hosts.
    pub fn new(
        table: SharedTable,
        era: StoreEra,
        update: TableUpdate,
        source: TableSource,
    ) -> Self {
        Self {
            coverage: Coverage::default(),
            divided: Vec::new(),
            era,
            hosts_in_all: 0,
            update,
            source,
            table,
        }
    }
}
