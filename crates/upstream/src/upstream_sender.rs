use super::*;

/// A connection to an upstream that is ready for one more request.
#[derive(Debug)]
pub struct UpstreamSender {
    pub(crate) id: ConnectionId,
    pub(crate) opened: Instant,
    /// The path over which the connection was opened.
    pub(crate) path: Path,
    /// Number of requests that were sent on the connection.
    pub(crate) requests_sent: u32,
    pub(crate) sender: SendRequest<Full<Bytes>>,
}

impl UpstreamSender {
    /// Number of the connection.
    pub const fn id(&self) -> ConnectionId {
        self.id
    }

    /// Time since the connection was opened.
    pub fn age(&self) -> Duration {
        self.opened.elapsed()
    }

    /// Number of requests that were sent on the connection before the last one.
    pub const fn requests_before(&self) -> u32 {
        self.requests_sent.saturating_sub(1)
    }
}
