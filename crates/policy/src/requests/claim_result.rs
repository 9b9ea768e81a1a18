use super::*;

/// Result of claiming an idempotency key in the platform's table.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimResult {
    /// Another attempt holds the key and has not ended yet.
    InProgress,
    /// An earlier attempt with the key ended, and whether it ran is unknown.
    MayHaveRun,
    /// The call failed without an effect: nothing was written to the table.
    NotWritten,
    /// The key is claimed for this attempt.
    Granted,
    /// An earlier attempt with the key ran. Holds its response if the response was stored.
    Ran(Option<StoredResponse>),
    /// The key was used for a request with another fingerprint.
    KeyReused,
    /// The result is unknown, for example because the table did not respond. The claim may or may
    /// not exist, so the request is not sent to an upstream.
    Unknown,
}
