use super::*;

/// What those who serve one caller's connection wait for.
#[derive(Debug, Default)]
pub(crate) struct ReaderSignals {
    /// The connection is to be closed.
    pub(crate) close: Notify,
    /// There may be room for more.
    pub(crate) room: Notify,
}
