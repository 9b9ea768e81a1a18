use super::*;

/// A claim of an idempotency key, to be inserted into the platform's table.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimRequest {
    /// Attempt that claims; by it a lost answer is recognised.
    pub attempt: AttemptId,
    /// Last moment at which an answer is of use.
    pub deadline: Time,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The request.
    pub request: RequestId,
    /// Team that the key is scoped to.
    pub team: TeamId,
    /// Tier of the request; the table's budget is given to tiers in order.
    pub tier: Tier,
}
