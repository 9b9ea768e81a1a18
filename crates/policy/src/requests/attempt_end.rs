use super::*;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The whole answer came and was passed on.
    Completed {
        /// The answer, where it is to be kept for a repeated key.
        response: Option<StoredResponse>,
        /// Longest time between two parts that the caller was sent.
        longest_pause: Duration,
        /// Tokens since the last progress event.
        tokens: Tokens,
    },
    /// It failed.
    Failed {
        /// What went wrong.
        cause: FailureCause,
        /// Whether part of the answer has reached the caller already.
        delivered: bool,
        /// Tokens since the last progress event.
        tokens: Tokens,
        /// Whether this attempt may have run.
        verdict: Verdict,
    },
}
