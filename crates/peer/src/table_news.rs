use super::*;

/// What a host tells another one of a table of the installation's store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableNews {
    /// Revision up to which the table is known with these rows.
    pub revision: u64,
    /// Rows that changed; all rows if they are the whole table.
    pub rows: Vec<TableRow>,
    /// Whether these are all rows, so that any other one is gone.
    pub whole: bool,
}

/// News of all tables that few hosts read for the others.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TablesNews {
    /// The hosts of the installation.
    pub hosts: TableNews,
    /// The upstreams.
    pub upstreams: TableNews,
}
