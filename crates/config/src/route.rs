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
    /// The service for one request; `draw` is a random number.
    pub fn service(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.services.iter().map(|part| part.weight).sum();
        let mut left = draw.checked_rem(total)?;
        for part in &self.services {
            if left < part.weight {
                return Some(&part.service);
            }
            left -= part.weight;
        }
        None
    }
}
