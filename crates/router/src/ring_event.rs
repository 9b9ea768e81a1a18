use super::*;

/// What the controller's ring carries.
#[derive(Debug)]
pub(crate) enum RingEvent {
    /// A request, with the way back to the task that serves it.
    Arrived(Arrival, mpsc::Sender<Instruction>),
    /// Another host's heartbeat, with the way back to it.
    HeartbeatAsked(Heartbeat, oneshot::Sender<HeartbeatAnswer>),
    /// Something else that happened.
    Happened(Event),
    /// Stop once no request is left.
    Stop,
}
