use super::*;

/// A change of what a host believes of its own path to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct PathChange {
    /// Targets none of whose upstreams it reaches by itself now.
    pub cut_off: Vec<Target>,
    /// Whether the path is open.
    pub is_open: bool,
    /// Upstreams to which the paths are lost now.
    pub lost: usize,
    /// What showed it.
    pub tries: Vec<PathTry>,
    /// The upstream.
    pub upstream: UpstreamId,
}
