use super::*;

/// A failed attempt.
pub(crate) struct AttemptFailure {
    pub(crate) cause: FailureCause,
    /// Whether part of the response has already been sent to the caller.
    pub(crate) delivered: bool,
    /// Whether the request may have run in this attempt.
    pub(crate) verdict: Verdict,
}
