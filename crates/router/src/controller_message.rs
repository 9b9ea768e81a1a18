use super::*;

/// What the controller's ring carries.
#[derive(Debug)]
pub(crate) enum ControllerMessage {
    /// A request, with the id by which callers and logs name it, and the way back
    /// to the task that serves it.
    Arrived(Arrival, String, mpsc::Sender<Instruction>),
    /// Another host's heartbeat, with the way back to it.
    HeartbeatReceived(Heartbeat, oneshot::Sender<HeartbeatAnswer>),
    /// Something else that happened.
    Event(Event),
    /// Another host wants to reach an upstream through this one, with the way back to it.
    TransitRequested(UpstreamId, oneshot::Sender<Option<SocketAddr>>),
    /// A request was refused before anything had to be decided.
    Rejected {
        /// By which callers and logs name it.
        id: String,
        /// Why, as a machine-readable code.
        reason: String,
    },
    /// Stop once no request is left.
    Stop,
}
