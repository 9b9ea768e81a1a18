use super::*;

/// How a host reaches an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Path {
    /// Over a connection of its own.
    Direct,
    /// Through another host, which listens there.
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
