use super::*;

/// Result of opening a connection to an upstream.
#[derive(Debug)]
pub struct OpenResult {
    /// The connection; `None` if no connection could be established.
    pub sender: Option<UpstreamSender>,
    /// The paths that were tried and the outcome of each attempt.
    pub attempts: Vec<PathAttempt>,
}
