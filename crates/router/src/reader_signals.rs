use super::*;

/// Signals to the tasks that serve the connection of one caller.
#[derive(Debug, Default)]
pub(crate) struct ReaderSignals {
    /// The connection must be closed.
    pub(crate) close: Notify,
    /// Budget for more bytes may be available.
    pub(crate) budget_freed: Notify,
}
