use super::*;

/// A request class of a scenario.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioClass {
    /// Target for the time between two tokens.
    pub between_token_target_ms: u64,
    /// Longest time from arrival until the last attempt starts.
    pub deadline_ms: u64,
    /// Target for the time to the first token.
    pub first_token_target_ms: u64,
    /// Id.
    pub id: ClassId,
    /// Whether a request may run twice without harm.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Tier.
    pub tier: Tier,
}

fn default_idempotent() -> bool {
    true
}
