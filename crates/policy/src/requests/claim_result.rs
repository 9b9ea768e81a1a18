use super::*;

/// What the table said of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimResult {
    /// Another attempt holds the key and has not settled it.
    InProgress,
    /// An earlier attempt ended without a known outcome.
    MayHaveRun,
    /// The table refused the call: nothing was written.
    NotWritten,
    /// The key is claimed for this attempt.
    Granted,
    /// An earlier attempt ran; this is its answer, if it was kept.
    Ran(Option<StoredResponse>),
    /// The key was used for another request.
    KeyReused,
    /// No answer came: the claim may or may not exist, so nothing is sent.
    Unknown,
}
