use super::*;

/// The controller's instructions for one request.
pub(crate) struct Instructions {
    /// One that came while an attempt was under way.
    next: Option<Instruction>,
    receiver: mpsc::Receiver<Instruction>,
}

impl Instructions {
    pub(crate) const fn new(receiver: mpsc::Receiver<Instruction>) -> Self {
        Self {
            next: None,
            receiver,
        }
    }

    /// The next instruction; `None` once the request has ended.
    pub(crate) async fn next(&mut self) -> Option<Instruction> {
        match self.next.take() {
            Some(instruction) => Some(instruction),
            None => self.receiver.recv().await,
        }
    }

    /// Waits until an attempt is to be given up.
    pub(crate) async fn abandoned(&mut self, attempt: AttemptId) {
        while self.next.is_none() {
            match self.receiver.recv().await {
                Some(Instruction::Abandon(abandoned)) if abandoned == attempt => return,
                Some(Instruction::Abandon(_)) => {}
                next => {
                    self.next = next;
                    break;
                }
            }
        }
        std::future::pending::<()>().await;
    }
}
