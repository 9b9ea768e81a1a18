use super::*;

/// Network path from a host to an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Path {
    /// The host connects to the upstream itself.
    Direct,
    /// Another host, which listens at this address, forwards the connection.
    Through(SocketAddr),
}

impl Display for Path {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Direct => f.write_str("direct"),
            Self::Through(host) => write!(f, "through {host}"),
        }
    }
}
