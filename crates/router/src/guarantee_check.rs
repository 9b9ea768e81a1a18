use super::*;

/// How a promise was checked against a history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GuaranteeCheck {
    /// Cases that broke it.
    pub broken: u64,
    /// Cases that could show whether it holds.
    pub checked: u64,
    /// Its name.
    pub name: String,
}
