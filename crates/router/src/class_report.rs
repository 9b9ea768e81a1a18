use super::*;

/// What a report says of one class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassReport {
    /// Share of its requests that met their targets, 0 to 1.
    pub attainment: f64,
    /// Share of the error budget that is left, 0 or less when it is used up.
    pub budget_left: f64,
    /// Burn rate over the last 5 minutes: 1 uses the budget up exactly.
    pub burn_rate: f64,
    /// Burn rate over the last hour.
    pub burn_rate_long: f64,
    /// The class.
    pub class: ClassId,
    /// Requests with a whole answer.
    pub finished: u64,
    /// Median time to the first token, in milliseconds.
    pub first_token_p50_ms: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95_ms: f64,
    /// Requests within their targets.
    pub met: u64,
    /// Share of requests that should meet their targets.
    pub objective: f64,
    /// Requests refused for want of capacity or time.
    pub shed: u64,
    /// Its tier.
    pub tier: Tier,
    /// Requests, those rejected for the caller's own fault not counted.
    pub total: u64,
}
