use super::*;

/// State of a claimed idempotency key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
    /// The attempt may be sent at any moment, or has been.
    Claimed,
    /// The attempt ended without a known outcome.
    MayHaveRun,
    /// The attempt ended without having been sent, and never will be: the next
    /// attempt may take the key. The row stays, so that a delayed write of the
    /// old claim finds it and fails.
    Released,
    /// The request ran.
    Ran {
        /// Its answer as JSON, if it was small enough to keep.
        answer: Option<Value>,
    },
}
