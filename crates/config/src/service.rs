use super::*;

/// A service that callers reach through `/services/ID/…`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether the upstreams of the service are engines, which serve a model with the name of the
    /// service.
    #[serde(default)]
    pub engine: bool,
    /// Whether it is safe to run a request twice.
    pub idempotent: bool,
}
