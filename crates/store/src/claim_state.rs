use super::*;

/// State of a claimed idempotency key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum ClaimState {
    /// The attempt has been sent or is about to be sent.
    Claimed,
    /// The attempt ended with an unknown outcome.
    MayHaveRun,
    /// The attempt ended before it was sent and will never be sent, so the next attempt may claim
    /// the key. The row is kept so that a delayed write of the old claim finds the row and fails.
    Released,
    /// The request ran.
    Ran {
        /// The response as JSON, if it was small enough to store.
        answer: Option<Value>,
    },
}
