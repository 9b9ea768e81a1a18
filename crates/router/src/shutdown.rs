use super::*;

/// Signals the threads of a host to stop.
#[derive(Clone, Debug)]
pub(crate) struct Shutdown {
    sender: watch::Sender<bool>,
}

impl Shutdown {
    pub(crate) fn new() -> Self {
        Self {
            sender: watch::Sender::new(false),
        }
    }

    pub(crate) fn start(&self) {
        self.sender.send_replace(true);
    }

    pub(crate) fn is_started(&self) -> bool {
        *self.sender.borrow()
    }

    /// Waits until the shutdown has started.
    pub(crate) async fn started(&self) {
        let mut receiver = self.sender.subscribe();
        // Waiting cannot fail, as the sender lives as long as `self`.
        let _ = receiver.wait_for(|started| *started).await;
    }
}
