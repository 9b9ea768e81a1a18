use super::*;

/// Limits that protect a host from its callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Time that a caller may take to send the body of a request.
    pub body_timeout_ms: u64,
    /// Time that a caller may take to send the head of a request.
    pub head_timeout_ms: u64,
    /// Largest response that is stored to answer a repeated idempotency key.
    pub max_answer_bytes: ByteSize,
    /// Largest body of a request.
    pub max_body_bytes: ByteSize,
    /// Memory for the buffered bodies of all requests together. The default of 64 MiB is a quarter
    /// of the memory of a small host.
    pub max_buffered_bytes: ByteSize,
    /// Maximum number of open connections from callers.
    pub max_connections: usize,
    /// File descriptors that the host may use.
    #[serde(deserialize_with = "whole_number::floored")]
    pub max_descriptors: usize,
    /// Largest head of a request. The default is the limit of the HTTP library.
    pub max_head_bytes: ByteSize,
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// Memory for the unread bytes of all responses together, until their callers read them. The
    /// default is the memory that the smallest hosts have left after request bodies and the
    /// memory reserved for control work.
    pub max_unread_bytes: ByteSize,
    /// Memory for the unread bytes of one stream, until its caller reads them.
    pub max_unread_stream_bytes: ByteSize,
    /// Largest response that is buffered and forwarded as a whole. The default is a quarter of the
    /// default `max_buffered_bytes`.
    pub max_whole_answer_bytes: ByteSize,
    /// Time that a caller may leave a stream unread.
    pub slow_reader_timeout_ms: u64,
    /// Time for which an upstream may send nothing in the middle of a response.
    pub upstream_idle_timeout_ms: u64,
}

/// File descriptors for all but requests: files, the store, the operators and the other hosts.
const RESERVED_DESCRIPTORS: usize = 400;

impl Limits {
    /// Number of connections from callers that the host keeps open at most. Each may need a
    /// connection to an upstream, too.
    pub fn max_caller_connections(&self) -> usize {
        let descriptors = self.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        self.max_connections.min(descriptors / 2)
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_timeout_ms: 10_000,
            head_timeout_ms: 10_000,
            max_answer_bytes: ByteSize::new(64 * 1024),
            max_body_bytes: ByteSize::new(4 * 1024 * 1024),
            max_buffered_bytes: ByteSize::new(64 * 1024 * 1024),
            max_connections: 10_000,
            max_descriptors: 20_400,
            max_head_bytes: ByteSize::new(400 * 1024),
            max_queued: 4_000,
            max_unread_bytes: ByteSize::new(16 * 1024 * 1024),
            max_unread_stream_bytes: ByteSize::new(256 * 1024),
            max_whole_answer_bytes: ByteSize::new(16 * 1024 * 1024),
            slow_reader_timeout_ms: 30_000,
            upstream_idle_timeout_ms: 30_000,
        }
    }
}
