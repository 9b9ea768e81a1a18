use super::*;

/// A service of a route, with its share of the route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// Share of the requests, relative to the weights of the other services of the route.
    pub weight: u64,
}
