use super::*;

/// An upstream that is to be looked at.
#[derive(Debug)]
pub(crate) struct ProbeJob {
    pub(crate) address: SocketAddr,
    /// Paths to it, in the order in which they are tried.
    pub(crate) paths: Vec<Path>,
    pub(crate) kind: ProbeKind,
    pub(crate) upstream: UpstreamId,
}

/// What is to be known of it.
#[derive(Debug)]
pub(crate) enum ProbeKind {
    /// Whether it is well again, by the health check at a path.
    Health(String),
    /// By which paths it can be reached.
    Path,
    /// Whether it still listens, after connections to it broke.
    Listening,
}
