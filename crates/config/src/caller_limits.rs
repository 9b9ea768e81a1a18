use super::*;

/// What callers may send, where the shared configuration says it for all hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallerLimits {
    /// Time that a caller may take to send a request's head.
    pub head_timeout_ms: u64,
    /// Time that a caller may leave a connection unused.
    pub idle_timeout_ms: u64,
    /// Largest body of a request.
    pub max_body_bytes: ByteSize,
    /// Largest head of a request.
    pub max_head_bytes: ByteSize,
}
