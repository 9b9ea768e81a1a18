use super::*;

/// The row of a claimed idempotency key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimRow {
    /// Attempt that holds the claim.
    pub attempt: AttemptId,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// State.
    #[serde(flatten)]
    pub state: ClaimState,
}

impl ClaimRow {
    /// Key of the row; a key of one team never meets that of another.
    pub fn key(team: &TeamId, key: &IdempotencyKey) -> String {
        format!("claims/{team}/{key}")
    }
}
