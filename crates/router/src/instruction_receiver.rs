use super::*;

/// The controller's instructions for one request.
pub(crate) struct InstructionReceiver {
    /// One that came while an attempt was under way.
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

    /// Waits until an attempt is to be given up.
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
