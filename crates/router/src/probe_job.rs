use super::*;

/// An upstream that is to be looked at.
#[derive(Debug)]
pub(crate) struct ProbeJob {
    pub(crate) address: SocketAddr,
    pub(crate) question: ProbeQuestion,
    pub(crate) upstream: UpstreamId,
}

/// What is to be known of it.
#[derive(Debug)]
pub(crate) enum ProbeQuestion {
    /// Whether it is well again, by the health check at a path.
    Health(String),
    /// Whether it still listens, after connections to it broke.
    Listening,
}
