use super::*;

/// The table row of a claimed idempotency key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimRow {
    /// Attempt that made the claim.
    pub attempt: AttemptId,
    /// Fingerprint of the request that the key was used for.
    pub fingerprint: Fingerprint,
    /// State.
    #[serde(flatten)]
    pub state: ClaimState,
}

impl ClaimRow {
    /// Returns the key of the row. It includes the team, so that equal keys of two teams do not
    /// collide.
    pub fn key(team: &TeamId, key: &IdempotencyKey) -> String {
        format!("claims/{team}/{key}")
    }
}
