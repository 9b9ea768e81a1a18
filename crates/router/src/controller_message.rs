use super::*;

/// A message to the controller thread.
#[derive(Debug)]
pub(crate) enum ControllerMessage {
    /// A request arrived. Carries the request id that appears in logs and is known to the caller,
    /// and the channel for instructions to the task that serves the request.
    Arrived(Arrival, String, mpsc::Sender<Instruction>),
    /// Another host sent a heartbeat. Carries the channel for the answer.
    HeartbeatReceived(Heartbeat, oneshot::Sender<HeartbeatAnswer>),
    /// Any other event for the controller.
    Event(Event),
    /// Another host wants to reach an upstream through this host. Carries the channel for the
    /// address to connect to, or for `None` if the request is declined.
    TransitRequested(UpstreamId, oneshot::Sender<Option<SocketAddr>>),
    /// A request was rejected before it reached the controller; for the log.
    Rejected {
        /// Request id that appears in logs and is known to the caller.
        id: String,
        /// Machine-readable code of the reason.
        reason: String,
    },
    /// An upstream's response did not answer the request; for the log. Carries the upstream.
    ResponseRejected(RequestId, UpstreamId, RejectedResponse),
    /// Stop once no request is left.
    Stop,
}
