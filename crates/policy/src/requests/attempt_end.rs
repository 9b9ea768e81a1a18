use super::*;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The complete response was received and forwarded to the caller.
    Completed {
        /// Response to store for repeated requests with the same idempotency key.
        response: Option<StoredResponse>,
        /// Longest pause between two parts of the response sent to the caller.
        longest_pause: Duration,
        /// Tokens received since the last progress event.
        tokens: Tokens,
    },
    /// The attempt failed.
    Failed {
        /// What went wrong.
        cause: FailureCause,
        /// Whether part of the response has already been sent to the caller.
        delivered: bool,
        /// Tokens received since the last progress event.
        tokens: Tokens,
        /// Whether the request may have run in this attempt.
        verdict: Verdict,
    },
}
