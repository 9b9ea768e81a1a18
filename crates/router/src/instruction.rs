use super::*;

/// What the controller tells the task that serves one request.
#[derive(Debug)]
pub(crate) enum Instruction {
    /// Give an attempt up.
    Abandon(AttemptId),
    /// End a stream that was cut.
    Break(Refusal),
    /// Give the final answer.
    Refuse(Refusal),
    /// Give a stored answer.
    Replay(StoredResponse),
    /// Send the request to an upstream.
    Send(Box<SendOrder>),
}

impl Instruction {
    /// The controller has at most this many instructions under way for one
    /// request: a send, an abandonment, a break and a refusal.
    pub(crate) const CHANNEL_CAPACITY: usize = 4;
}
