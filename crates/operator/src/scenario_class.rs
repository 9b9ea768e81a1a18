use super::*;

/// A request class of a scenario.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioClass {
    /// Target for the time between two tokens.
    pub between_token_target_ms: u64,
    /// Latest start of an attempt, counted from the arrival of the request.
    pub deadline_ms: u64,
    /// Target for the time to the first token.
    pub first_token_target_ms: u64,
    /// Id of the class.
    pub id: ClassId,
    /// Whether a request may safely run more than once.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Tier, which determines the urgency of the class.
    pub tier: Tier,
}

fn default_idempotent() -> bool {
    true
}
