use super::*;

/// One run of a request on a stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Run {
    /// Attempt id that came with it.
    pub attempt: Option<String>,
    /// Whether the whole answer was computed.
    pub finished: bool,
    /// When the request came, in milliseconds since the log began. It may have
    /// waited in the engine's own queue until its start.
    pub received_ms: u64,
    /// Start, in milliseconds since the log began.
    pub started_ms: u64,
    /// The caller's tag.
    pub tag: String,
    /// Tokens computed.
    pub tokens: u32,
    /// The upstream.
    pub upstream: String,
}
