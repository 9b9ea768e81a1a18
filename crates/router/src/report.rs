use super::*;

/// Report on service levels, error budgets and wasted work.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// One entry for each class that had requests, ordered by tier.
    pub classes: Vec<ClassReport>,
    /// Tokens of requests that met their targets, as a fraction of all computed tokens.
    pub goodput_share: f64,
    /// Tokens per second of requests that met their targets.
    pub goodput_tokens_per_s: f64,
    /// Guarantees that were checked against the history of the run; empty if no history is
    /// recorded.
    pub promises: Vec<GuaranteeCheck>,
    /// Requests that were refused or interrupted, by error code; empty if codes are not recorded.
    #[serde(default)]
    pub refused_by_code: BTreeMap<String, u64>,
    /// Requests by verdict.
    pub verdicts: BTreeMap<Verdict, u64>,
    /// Wasted tokens by cause.
    pub wasted_by_cause: BTreeMap<WasteCause, u64>,
    /// Wasted tokens as a fraction of all computed tokens.
    pub wasted_share: f64,
}
