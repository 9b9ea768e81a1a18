use super::*;

/// The answer of a request that ran, kept for a repeated idempotency key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredResponse {
    /// Body, as text.
    pub body: String,
    /// Content type.
    pub content_type: String,
    /// HTTP status.
    pub status: u16,
}
