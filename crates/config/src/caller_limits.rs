use super::*;

/// Limits on callers that the shared configuration sets for all hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Time that a caller may take to send the head of a request.
    pub head_timeout_ms: u64,
    /// Time for which a caller may leave a connection idle.
    pub idle_timeout_ms: u64,
    /// Largest body of a request.
    pub max_body_bytes: ByteSize,
    /// Largest head of a request.
    pub max_head_bytes: ByteSize,
}
