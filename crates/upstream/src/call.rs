use super::*;

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Body.
    pub body: Bytes,
    /// Content type of the body.
    pub content_type: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Priority for an engine.
    pub priority: u8,
}
