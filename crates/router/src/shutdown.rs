use super::*;

/// Signals the threads of a host to stop.
#[derive(Clone, Debug)]
pub(crate) struct Shutdown {
    sender: watch::Sender<Option<StopTime>>,
}

/// Time by which a thread must have stopped; `None` for no limit.
type StopTime = Option<Instant>;

impl Shutdown {
    pub(crate) fn new() -> Self {
        Self {
            sender: watch::Sender::new(None),
        }
    }

    /// Starts the shutdown, without a time limit.
    pub(crate) fn start(&self) {
        self.start_until(None);
    }

    /// Starts the shutdown, which must be complete at `end` if that is given.
    pub(crate) fn start_until(&self, end: StopTime) {
        self.sender.send_replace(Some(end));
    }

    pub(crate) fn is_started(&self) -> bool {
        self.sender.borrow().is_some()
    }

    /// Time by which the shutdown must be complete; `None` if it has not started or has no limit.
    pub(crate) fn end(&self) -> StopTime {
        self.sender.borrow().flatten()
    }

    /// Waits until the shutdown has started.
    pub(crate) async fn started(&self) {
        let mut receiver = self.sender.subscribe();
        // Waiting cannot fail, as the sender lives as long as `self`.
        let _ = receiver.wait_for(Option::is_some).await;
    }
}
