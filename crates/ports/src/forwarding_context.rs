use super::*;

/// What a host adds to a request that it forwards to an upstream.
#[derive(Clone, Debug)]
pub struct ForwardingContext<'a> {
    /// Address of an engine from which the upstream can fetch cached prompt parts.
    pub fetch_from: Option<SocketAddr>,
    /// The upstream for which the request is meant. Another upstream at the same address must
    /// reject the request.
    pub instance: &'a UpstreamId,
    /// Id of the last event that the caller received, if the request resumes a stream.
    pub last_event: Option<&'a str>,
    /// Priority for the engine, 0 the most urgent.
    pub priority: u8,
    /// Team of the caller; `None` for a request without an API key.
    pub team: Option<&'a TeamId>,
    /// Time left until the caller no longer needs the response.
    pub time_left: Duration,
}
