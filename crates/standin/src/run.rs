use super::*;

/// One run of a request on a stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Run {
    /// Attempt id in the request, if any.
    pub attempt: Option<String>,
    /// Whether the complete response was computed.
    pub finished: bool,
    /// When the request arrived, in milliseconds since the log was created. The request
    /// may then have waited in the engine's queue.
    pub received_ms: u64,
    /// When the run started, in milliseconds since the log was created.
    pub started_ms: u64,
    /// Tag that the caller gave the request.
    pub tag: String,
    /// Number of tokens computed; 1 for a plain service.
    pub tokens: u32,
    /// Name of the upstream.
    pub upstream: String,
}
