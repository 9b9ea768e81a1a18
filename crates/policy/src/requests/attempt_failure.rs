use super::*;

/// A failed attempt.
pub(crate) struct AttemptFailure {
    pub(crate) cause: FailureCause,
    pub(crate) delivered: bool,
    pub(crate) verdict: Verdict,
}
