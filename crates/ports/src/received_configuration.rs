use super::*;

/// A configuration that was received from another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedConfiguration {
    /// Time at which the other host last knew the configuration to be the newest; `None` if it did
    /// not know.
    pub as_of: Option<Time>,
    /// The received document.
    pub document: Arc<SourceDocument>,
    /// Size and duration of the transfer.
    pub read_stats: ReadStats,
}
