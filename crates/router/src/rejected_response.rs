use super::*;

/// A response that did not answer its request, for the log: what its head says, and what its
/// connection carried before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RejectedResponse {
    pub(crate) class: ResponseClass,
    pub(crate) connection: ConnectionId,
    pub(crate) connection_age: Duration,
    pub(crate) named: NamedAttempt,
    /// Number of requests that were sent on the connection before this one.
    pub(crate) requests_before: u32,
    pub(crate) status: StatusCode,
}
