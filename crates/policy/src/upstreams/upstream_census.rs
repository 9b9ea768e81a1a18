use super::*;

/// A service in a failure domain.
pub(crate) type ServiceDomain = (String, FailureDomainId);

/// Service and failure domain of every upstream of the installation. A host keeps nothing else
/// about upstreams outside of its working set.
#[derive(Clone, Debug, Default)]
pub struct UpstreamCensus {
    /// Number of upstreams per service and failure domain.
    counts: BTreeMap<ServiceDomain, usize>,
    /// Index in `service_domains` for each upstream, by the name of the upstream.
    service_domain_numbers: HashMap<String, u32>,
    service_domains: Vec<ServiceDomain>,
}

impl UpstreamCensus {
    /// Records the service and failure domain of an upstream.
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

    /// Removes an upstream.
    pub fn forget(&mut self, name: &str) {
        let number = self.service_domain_numbers.remove(name);
        let service_domain = number.and_then(|number| self.service_domains.get(number as usize));
        if let Some(count) =
            service_domain.and_then(|service_domain| self.counts.get_mut(service_domain))
        {
            *count -= 1;
        }
    }

    /// Number of upstreams per service and failure domain.
    pub(crate) const fn counts(&self) -> &BTreeMap<ServiceDomain, usize> {
        &self.counts
    }

    /// Level of an upstream in a working set; 0 for an upstream that is not recorded.
    pub fn level(&self, name: &str, working_set: &WorkingSet) -> u8 {
        let number = self.service_domain_numbers.get(name);
        let service_domain = number.and_then(|number| self.service_domains.get(*number as usize));
        service_domain.map_or(0, |service_domain| working_set.level(name, service_domain))
    }

    /// Levels of all recorded upstreams.
    pub fn levels(&self, working_set: &WorkingSet) -> Vec<(String, u8)> {
        let names = self.service_domain_numbers.keys();
        names
            .map(|name| (name.clone(), self.level(name, working_set)))
            .collect()
    }
}
