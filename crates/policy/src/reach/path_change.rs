use super::*;

/// A change in whether a host considers its own path to an upstream open.
#[derive(Clone, Debug, PartialEq)]
pub struct PathChange {
    /// Targets for which the host can now connect to no upstream directly.
    pub cut_off: Vec<Target>,
    /// Whether the path is open.
    pub is_open: bool,
    /// Number of upstreams to which the path is now lost.
    pub lost: usize,
    /// The connection attempts that revealed the change.
    pub tries: Vec<PathAttempt>,
    /// The upstream.
    pub upstream: UpstreamId,
}
