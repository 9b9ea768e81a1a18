use super::*;

/// An ejected upstream to be asked whether it is well.
#[derive(Debug)]
pub(crate) struct ProbeJob {
    pub(crate) address: SocketAddr,
    /// Path of the health check.
    pub(crate) path: String,
    pub(crate) upstream: UpstreamId,
}
