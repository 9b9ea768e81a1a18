use super::*;

/// Result of checking one guarantee of the router against the recorded history of a run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GuaranteeCheck {
    /// Number of cases that violated the guarantee.
    pub broken: u64,
    /// Number of cases to which the guarantee applied.
    pub checked: u64,
    /// Name of the guarantee.
    pub name: String,
}
