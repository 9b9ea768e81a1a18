use super::*;

/// Limits on trial traffic, which protect paid traffic.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TrialRules {
    /// Largest share of an upstream's slots that trial requests may hold, 0 to 1.
    pub max_slot_share: f64,
    /// Most urgent tier that a trial team may use.
    pub most_urgent_tier: Tier,
}
