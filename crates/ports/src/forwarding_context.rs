use super::*;

/// What a host adds to a request that it passes to an upstream.
#[derive(Clone, Debug)]
pub struct ForwardingContext<'a> {
    /// Where an engine listens that keeps a part of the prompt to be fetched.
    pub fetch_from: Option<SocketAddr>,
    /// The upstream that is meant; another one at its address must refuse.
    pub instance: &'a UpstreamId,
    /// Id of the last event that the caller has, where a stream goes on.
    pub last_event: Option<&'a str>,
    /// Priority for an engine, 0 the most urgent.
    pub priority: u8,
    /// Team of the caller; `None` for a request without a key.
    pub team: Option<&'a TeamId>,
    /// How long the answer is of use.
    pub time_left: Duration,
}
