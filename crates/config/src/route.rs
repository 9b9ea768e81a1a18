use super::*;

/// Requests of one host name and path prefix, relayed unchanged to a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Class of its requests.
    pub class: ClassId,
    /// Host name that its requests name.
    pub hostname: String,
    /// Start of the paths of its requests; it begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests need no key of a team.
    #[serde(default)]
    pub public: bool,
    /// Services that its requests go to, by weight.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// The service for one request; `random_number` is a random number.
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
