use super::*;

/// Receives the controller's instructions for one request.
pub(crate) struct InstructionReceiver {
    /// Instruction that was received while an attempt was running.
    buffered: Option<Instruction>,
    receiver: mpsc::Receiver<Instruction>,
}

impl InstructionReceiver {
    pub(crate) const fn new(receiver: mpsc::Receiver<Instruction>) -> Self {
        Self {
            buffered: None,
            receiver,
        }
    }

    /// The next instruction; `None` once the request has ended.
    pub(crate) async fn next(&mut self) -> Option<Instruction> {
        match self.buffered.take() {
            Some(instruction) => Some(instruction),
            None => self.receiver.recv().await,
        }
    }

    /// Waits until the controller abandons the attempt, and ignores the abandonment of any other
    /// attempt. Another instruction is buffered for [`Self::next`], and the future then never
    /// completes.
    pub(crate) async fn wait_for_abandon(&mut self, attempt: AttemptId) {
        while self.buffered.is_none() {
            match self.receiver.recv().await {
                Some(Instruction::Abandon(abandoned)) if abandoned == attempt => return,
                Some(Instruction::Abandon(_)) => {}
                next => {
                    self.buffered = next;
                    break;
                }
            }
        }
        std::future::pending::<()>().await;
    }
}
