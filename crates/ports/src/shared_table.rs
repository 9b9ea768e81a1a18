/// A table of the installation's store that few hosts read for all.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SharedTable {
    /// The hosts of the installation.
    Hosts,
    /// The upstreams.
    Upstreams,
}
