use super::*;

/// An ejected upstream to be asked whether it is well.
#[derive(Debug)]
pub(crate) struct ProbeJob {
    pub(crate) address: SocketAddr,
    pub(crate) upstream: UpstreamId,
}
