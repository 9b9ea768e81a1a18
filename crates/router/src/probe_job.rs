use super::*;

/// A request to probe an upstream.
#[derive(Debug)]
pub(crate) struct ProbeJob {
    pub(crate) address: SocketAddr,
    /// Network paths to the upstream, in the order in which they are tried.
    pub(crate) paths: Vec<Path>,
    pub(crate) kind: ProbeKind,
    pub(crate) upstream: UpstreamId,
}

/// What a probe checks.
#[derive(Debug)]
pub(crate) enum ProbeKind {
    /// Whether the upstream is healthy again, by the health check at this HTTP path.
    Health(String),
    /// By which network paths the upstream can be reached.
    Path,
    /// Whether the upstream still listens, after connections to it broke.
    Listening,
}
