use super::*;

/// The service-level report of one request class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassReport {
    /// Fraction of the class's requests that met their targets, 0 to 1.
    pub attainment: f64,
    /// Fraction of the error budget that remains; 0 or less when the budget is used up.
    pub budget_left: f64,
    /// Burn rate over the last 5 minutes; a rate of 1 uses up the error budget exactly.
    pub burn_rate: f64,
    /// Burn rate over the last hour.
    pub burn_rate_long: f64,
    /// The class.
    pub class: ClassId,
    /// Requests that received a complete response.
    pub finished: u64,
    /// Median time to the first token, in milliseconds.
    pub first_token_p50_ms: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95_ms: f64,
    /// Requests that met their targets.
    pub met: u64,
    /// Fraction of requests that should meet their targets.
    pub objective: f64,
    /// Requests refused for lack of capacity or time.
    pub shed: u64,
    /// Tier of the class.
    pub tier: Tier,
    /// All requests of the class, except those that were rejected because of an error of the
    /// caller and those whose caller disconnected.
    pub total: u64,
}
