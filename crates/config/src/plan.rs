use super::*;

/// What a team pays for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Plan {
    /// A paying customer.
    Paid,
    /// A free trial, kept apart by [`TrialRules`].
    Trial,
}
