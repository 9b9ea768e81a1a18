use super::*;

/// A service's part of the requests of a route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Its part, relative to the other services of the route.
    pub weight: u64,
}
