use super::*;

/// A claim of an idempotency key, to be inserted into the platform's table.
///
/// The claim ensures that only one attempt over all hosts sends the request to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimRequest {
    /// Attempt that claims the key. If the response of the table is lost, the host reads the row
    /// back and recognises its own claim by this id.
    pub attempt: AttemptId,
    /// Time after which the result of the claim is no longer needed.
    pub deadline: Time,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Idempotency key of the caller.
    pub key: IdempotencyKey,
    /// Id of the request.
    pub request: RequestId,
    /// Team that the key is scoped to.
    pub team: TeamId,
    /// Tier of the request. The budget of calls to the table is given to the tiers in order of
    /// urgency.
    pub tier: Tier,
}
