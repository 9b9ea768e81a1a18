use super::*;

/// A request class: how urgent its requests are and what they promise.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Target for the time between two tokens, on average over the answer.
    pub between_token_target_ms: u64,
    /// Longest time from arrival until the last attempt starts.
    pub deadline_ms: u64,
    /// Target for the time from arrival to the first token.
    pub first_token_target_ms: u64,
    /// Whether a request may run twice without harm.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Most upstreams that one request may be sent to.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Share of requests that should meet the targets, between 0 and 1. The
    /// rest is the error budget of the burn report.
    #[serde(default = "default_objective")]
    pub objective: f64,
    /// Longest pause between two parts of an answer with which it still counts as on
    /// time; where none is given only the average counts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pause_target_ms: Option<u64>,
    /// Whether a broken stream may go on at another upstream after its last
    /// whole event.
    #[serde(default)]
    pub resumable: bool,
    /// Service tier.
    pub tier: Tier,
}

fn default_idempotent() -> bool {
    true
}

fn default_max_attempts() -> u32 {
    3
}

fn default_objective() -> f64 {
    0.95
}
