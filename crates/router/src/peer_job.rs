use super::*;

/// A heartbeat to be sent to another host.
#[derive(Debug)]
pub(crate) struct PeerJob {
    pub(crate) address: SocketAddr,
    pub(crate) asked: Time,
    pub(crate) heartbeat: Heartbeat,
    pub(crate) host: HostId,
}
