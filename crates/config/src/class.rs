use super::*;

/// A request class: the urgency and the latency targets of its requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Target for the time between two tokens, averaged over the response.
    pub between_token_target_ms: u64,
    /// Time after arrival within which the last attempt must start.
    pub deadline_ms: u64,
    /// Target for the time from arrival to the first token.
    pub first_token_target_ms: u64,
    /// Whether it is safe to run a request twice.
    #[serde(default = "default_idempotent")]
    pub idempotent: bool,
    /// Maximum number of upstreams that one request may be sent to.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Share of requests that should meet the targets, between 0 and 1. The rest is the error
    /// budget, whose burn rate is reported.
    #[serde(default = "default_objective")]
    pub objective: f64,
    /// Longest pause between two parts of a response that still counts as on time. If absent, only
    /// the average time between tokens counts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pause_target_ms: Option<u64>,
    /// Whether a broken stream may continue at another upstream after the last complete event.
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
