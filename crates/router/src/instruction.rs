use super::*;

/// An instruction from the controller to the task that serves one request.
#[derive(Debug)]
pub(crate) enum Instruction {
    /// Abandon an attempt.
    Abandon(AttemptId),
    /// End an interrupted stream with an error event.
    Break(Refusal),
    /// Answer the caller with a refusal.
    Refuse(Refusal),
    /// Answer the caller with a stored response.
    Replay(StoredResponse),
    /// Send the request to an upstream.
    Send(Box<SendOrder>),
}

impl Instruction {
    /// Maximum number of instructions that the controller sends to one request task before the task
    /// reads them: one each of `Send`, `Abandon`, `Break` and `Refuse`.
    pub(crate) const CHANNEL_CAPACITY: usize = 4;
}
