use super::*;

/// A request to an upstream.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the attempt that sends the request.
    pub attempt: AttemptId,
    /// Body of the request.
    pub body: Bytes,
    /// Content type of the body.
    pub content_type: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URL.
    pub path: String,
    /// Priority that an engine gives the request, 0 being the most urgent.
    pub priority: u8,
}
