use super::*;

/// A configuration that another host handed over.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedConfiguration {
    /// When it was the newest one, by what that host knew; `None` if it did not know.
    pub as_of: Option<Time>,
    /// The configuration.
    pub document: Arc<SourceDocument>,
    /// How it was read.
    pub read_stats: ReadStats,
}
