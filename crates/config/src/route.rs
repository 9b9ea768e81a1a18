use super::*;

/// A rule that relays the requests for one host name and path prefix unchanged to services.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Class of the requests.
    pub class: ClassId,
    /// Host name that the requests are addressed to.
    pub hostname: String,
    /// Prefix of the request paths; it begins and ends with a slash.
    pub prefix: String,
    /// Whether requests are accepted without the key of a team.
    #[serde(default)]
    pub public: bool,
    /// Services that receive the requests, in proportion to their weights.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Picks the service for one request at random, in proportion to the weights. Returns `None` if
    /// the total weight is zero.
    pub fn pick_service(&self, random_number: u64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|weighted| weighted.weight).sum();
        let mut remaining = random_number.checked_rem(total)?;
        for weighted in &self.services {
            if remaining < weighted.weight {
                return Some(&weighted.service);
            }
            remaining -= weighted.weight;
        }
        None
    }
}
