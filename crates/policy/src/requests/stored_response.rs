use super::*;

/// Response of a completed request, stored to be replayed when the caller repeats the idempotency
/// key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoredResponse {
    /// Response body, as text.
    pub body: String,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// HTTP status code.
    pub status: u16,
}
