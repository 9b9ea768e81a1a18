use super::*;

/// Outcome of a request whose idempotency key is claimed, to be written to the platform's table.
#[derive(Clone, Debug, PartialEq)]
pub struct Settlement {
    /// Response to store; only with verdict `ran`.
    pub response: Option<StoredResponse>,
    /// Attempt that holds the claim.
    pub attempt: AttemptId,
    /// Idempotency key of the caller.
    pub key: IdempotencyKey,
    /// Team that the key is scoped to.
    pub team: TeamId,
    /// Whether the request ran. `not-run` releases the key; the other verdicts keep it.
    pub verdict: Verdict,
}
