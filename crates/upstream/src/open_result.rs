use super::*;

/// What came of opening a connection to an upstream.
#[derive(Debug)]
pub struct OpenResult {
    /// The connection; `None` if none could be made.
    pub sender: Option<UpstreamSender>,
    /// The paths that were tried, and how each attempt ended.
    pub attempts: Vec<PathAttempt>,
}
