use super::*;

/// Size and speed of an engine stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Prompt prefixes kept in the cache.
    pub cached_prefixes: usize,
    /// Slowdown of a token with all slots taken, as a part of its time.
    pub load_slope: f64,
    /// Time to read one prompt token that is not cached.
    pub prefill_us_per_token: u64,
    /// How old its load report is allowed to get.
    pub report_lag_ms: u64,
    /// Requests waiting beyond the slots.
    pub queue_bound: u32,
    /// Requests running at one moment.
    pub slots: u32,
    /// Time of one token with one request running.
    pub token_time_us: u64,
    /// Tokens that are sent in one event.
    pub tokens_per_event: u32,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            cached_prefixes: 32,
            load_slope: 0.25,
            prefill_us_per_token: 100,
            queue_bound: 8,
            report_lag_ms: 250,
            slots: 8,
            token_time_us: 15_000,
            tokens_per_event: 1,
        }
    }
}
