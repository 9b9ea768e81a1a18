use super::*;

/// Capacity and speed of an engine stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineOptions {
    /// Maximum number of prompt prefixes in the cache.
    pub cached_prefixes: usize,
    /// Increase of the time per token when all slots are in use, as a fraction of
    /// `token_time_us`.
    pub load_slope: f64,
    /// Prefill time of one prompt token that is not cached.
    pub prefill_us_per_token: u64,
    /// Interval at which the load report is updated, and so its maximum age.
    pub report_lag_ms: u64,
    /// Maximum number of requests that wait for a slot.
    pub queue_bound: u32,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Time per output token, before the increase by `load_slope`.
    pub token_time_us: u64,
    /// Number of tokens sent in one event.
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
