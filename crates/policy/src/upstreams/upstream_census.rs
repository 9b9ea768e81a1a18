use super::*;

/// A service in a failure domain.
pub(crate) type ServiceDomain = (String, FailureDomainId);

/// Where the upstreams of an installation are, and how many: all that is kept of those that a
/// host does not know.
#[derive(Clone, Debug, Default)]
pub struct UpstreamCensus {
    counts: BTreeMap<ServiceDomain, usize>,
    /// Number of each upstream's place, by its name.
    service_domain_numbers: HashMap<String, u32>,
    service_domains: Vec<ServiceDomain>,
}

impl UpstreamCensus {
    /// Notes where an upstream is.
    pub fn note(&mut self, name: &str, service: &str, domain: &FailureDomainId) {
        self.forget(name);
        let service_domain = (service.to_string(), domain.clone());
        let existing = self
            .service_domains
            .iter()
            .position(|known| *known == service_domain);
        let number = existing.unwrap_or_else(|| {
            self.service_domains.push(service_domain.clone());
            self.service_domains.len() - 1
        });
        *self.counts.entry(service_domain).or_default() += 1;
        self.service_domain_numbers
            .insert(name.to_string(), number as u32);
    }

    /// An upstream is gone.
    pub fn forget(&mut self, name: &str) {
        let number = self.service_domain_numbers.remove(name);
        let service_domain = number.and_then(|number| self.service_domains.get(number as usize));
        if let Some(count) =
            service_domain.and_then(|service_domain| self.counts.get_mut(service_domain))
        {
            *count -= 1;
        }
    }

    /// How many upstreams are in each place.
    pub(crate) const fn counts(&self) -> &BTreeMap<ServiceDomain, usize> {
        &self.counts
    }

    /// Level from which on a host knows an upstream; 0 for one that is not noted.
    pub fn level(&self, name: &str, working_set: &WorkingSet) -> u8 {
        let number = self.service_domain_numbers.get(name);
        let service_domain = number.and_then(|number| self.service_domains.get(*number as usize));
        service_domain.map_or(0, |service_domain| working_set.level(name, service_domain))
    }

    /// Levels of all upstreams.
    pub fn levels(&self, working_set: &WorkingSet) -> Vec<(String, u8)> {
        let names = self.service_domain_numbers.keys();
        names
            .map(|name| (name.clone(), self.level(name, working_set)))
            .collect()
    }
}
