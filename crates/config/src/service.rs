use super::*;

/// A plain service, called through `/services/ID/…`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether a call may run twice without harm.
    pub idempotent: bool,
}
