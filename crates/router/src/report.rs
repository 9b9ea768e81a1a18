use super::*;

/// A report on service-level burn.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// One for each class that had requests, by tier.
    pub classes: Vec<ClassReport>,
    /// Tokens of requests within their targets, as a share of all computed.
    pub goodput_share: f64,
    /// Tokens a second of requests within their targets.
    pub goodput_tokens_per_s: f64,
    /// Promises checked over the run's history; empty where none is kept.
    pub promises: Vec<GuaranteeCheck>,
    /// Requests that were refused or broke, by the error's code; empty where
    /// codes are not kept.
    #[serde(default)]
    pub refused_by_code: BTreeMap<String, u64>,
    /// Requests by the verdict they were given.
    pub verdicts: BTreeMap<Verdict, u64>,
    /// Tokens computed in vain, by cause.
    pub wasted_by_cause: BTreeMap<WasteCause, u64>,
    /// Tokens computed in vain, as a share of all computed.
    pub wasted_share: f64,
}
