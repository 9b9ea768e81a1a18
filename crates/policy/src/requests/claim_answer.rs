use super::*;

/// What the table said of a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAnswer {
    /// Another attempt holds the key and has not settled it.
    InProgress,
    /// An earlier attempt ended without a known outcome.
    MayHaveRun,
    /// The table refused the call: nothing was written.
    NotTried,
    /// The key is claimed for this attempt.
    Ours,
    /// An earlier attempt ran; this is its answer, if it was kept.
    Ran(Option<StoredAnswer>),
    /// The key was used for another request.
    Reused,
    /// No answer came: the claim may or may not exist, so nothing is sent.
    Unknown,
}
