use super::*;

/// How a claimed request ended, to be written into the platform's table.
#[derive(Clone, Debug, PartialEq)]
pub struct Settlement {
    /// Answer to keep; only with verdict `ran`.
    pub response: Option<StoredResponse>,
    /// Attempt that holds the claim.
    pub attempt: AttemptId,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Team that the key is scoped to.
    pub team: TeamId,
    /// `not-run` releases the key, the others keep it.
    pub verdict: Verdict,
}
