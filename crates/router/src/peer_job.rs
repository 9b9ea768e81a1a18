use super::*;

/// A request to send a heartbeat to another host.
#[derive(Debug)]
pub(crate) struct PeerJob {
    pub(crate) address: SocketAddr,
    pub(crate) sent_at: Time,
    pub(crate) heartbeat: Heartbeat,
    pub(crate) host: HostId,
}
