use super::*;

/// A plain service, called through `/services/ID/…`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether its upstreams are engines, which serve it as a model of its name.
    #[serde(default)]
    pub engine: bool,
    /// Whether a call may run twice without harm.
    pub idempotent: bool,
}
