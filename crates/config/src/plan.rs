use super::*;

/// Pricing plan of a team.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Plan {
    /// A paying customer.
    Paid,
    /// A free trial, limited by [`TrialRules`].
    Trial,
}
