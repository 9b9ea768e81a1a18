/// A table of the installation's store that only a few hosts read. The other hosts get its content
/// from them.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SharedTable {
    /// The table of hosts.
    Hosts,
    /// The table of upstreams.
    Upstreams,
}
