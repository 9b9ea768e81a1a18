use super::*;

/// Maximum number of upstreams of a service for which every host knows all of them.
const MAX_UNDIVIDED_UPSTREAMS: usize = 256;

/// Minimum number of upstreams of a larger service that a host knows in its own failure domain.
const MIN_LOCAL_UPSTREAMS: usize = 128;

/// Minimum number of upstreams of a larger service that all hosts know, over all failure domains.
const MIN_COMMON_UPSTREAMS: usize = 160;

/// Minimum number of upstreams of a larger service that all hosts know in one failure domain.
const MIN_COMMON_PER_DOMAIN: usize = 8;

/// Largest difference in halvings between the announced and the current division. With a larger one
/// hosts know at least four times as many upstreams as they need, so they are notified at once.
const MAX_HALVINGS_DIFFERENCE: u32 = 1;

/// Which upstreams the hosts of a failure domain know, where there are many.
///
/// If every host knew all upstreams, its memory, the updates that it receives and the upstreams
/// that it considers for each request would grow with the whole installation. Each upstream has a
/// level, which follows from its name and from the number of upstreams, so that all hosts compute
/// the same level:
///
/// - Upstreams of level 0 are known to all hosts, so that all hosts prefer the same engine for a
///   part of a prompt.
/// - Upstreams of level 1 are also known to the hosts of their own failure domain. They serve
///   requests that have to stay in the domain.
/// - All other upstreams are known only to hosts that query the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkingSet {
    /// Halvings by service and failure domain, only for services with many upstreams.
    divided: BTreeMap<ServiceDomain, Halvings>,
}

/// How often the upstreams of a service in a failure domain are halved to get the known ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Halvings {
    /// Halvings to get the upstreams that all hosts know.
    common: u32,
    /// Halvings to get the upstreams that hosts of the same failure domain know; `None` in another
    /// domain.
    local: Option<u32>,
}

impl WorkingSet {
    /// Highest level of the upstreams that a host knows.
    pub const KNOWN_LEVEL: u8 = 1;

    /// Level of upstreams that only hosts that query the store know.
    const UNKNOWN_LEVEL: u8 = 2;

    /// Divides the upstreams for the hosts of the failure domain `own`.
    pub fn divide(own: &FailureDomainId, census: &UpstreamCensus) -> Self {
        let mut services: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for ((service, _), count) in census.counts() {
            let (upstreams, domains) = services.entry(service).or_default();
            *upstreams += count;
            *domains += 1;
        }
        let service_domains = census.counts().iter();
        let divided = service_domains.filter_map(|(service_domain, count)| {
            let (upstreams, domains) = services[service_domain.0.as_str()];
            let least_common = (MIN_COMMON_UPSTREAMS / domains).max(MIN_COMMON_PER_DOMAIN);
            let halvings = Halvings {
                common: halvings(*count, least_common),
                local: (service_domain.1 == *own).then(|| halvings(*count, MIN_LOCAL_UPSTREAMS)),
            };
            (upstreams > MAX_UNDIVIDED_UPSTREAMS).then(|| (service_domain.clone(), halvings))
        });
        Self {
            divided: divided.collect(),
        }
    }

    /// The division that another host announced.
    pub fn from_service_divisions(places: &[ServiceDivision]) -> Self {
        let divided = places.iter().map(|announced| {
            let halvings = Halvings {
                common: announced.common,
                local: announced.near,
            };
            (
                (announced.service.clone(), announced.domain.clone()),
                halvings,
            )
        });
        Self {
            divided: divided.collect(),
        }
    }

    /// The division, as it is announced to other hosts.
    pub fn service_divisions(&self) -> Vec<ServiceDivision> {
        let divided = self.divided.iter();
        let places = divided.map(|((service, domain), halvings)| ServiceDivision {
            common: halvings.common,
            domain: domain.clone(),
            near: halvings.local,
            service: service.clone(),
        });
        places.collect()
    }

    /// Level of an upstream of a service in a failure domain.
    pub fn level_in(&self, name: &str, service: &str, domain: &FailureDomainId) -> u8 {
        self.level(name, &(service.to_string(), domain.clone()))
    }

    /// Whether the division is about the same as `now`, the division by the current number of
    /// upstreams.
    pub fn is_close_to(&self, now: &Self) -> bool {
        let service_domains = self.divided.keys().chain(now.divided.keys());
        let mut differences = service_domains.map(|service_domain| {
            let [before, after] = [self, now].map(|set| set.halvings(service_domain));
            let local = before.local.unwrap_or_default();
            let common = before.common.abs_diff(after.common);
            common.max(local.abs_diff(after.local.unwrap_or_default()))
        });
        differences.all(|difference| difference <= MAX_HALVINGS_DIFFERENCE)
    }

    /// Whether a host that knows the upstreams of a level according to `other` knows all upstreams
    /// of that level according to this division.
    pub fn is_within(&self, other: &Self) -> bool {
        let mut service_domains = other.divided.iter();
        service_domains.all(|(service_domain, before)| {
            let now = self.divided.get(service_domain);
            now.is_some_and(|now| now.common >= before.common && now.local >= before.local)
        })
    }

    /// Whether hosts know only a part of the upstreams of any service.
    pub fn is_divided(&self) -> bool {
        !self.divided.is_empty()
    }

    /// Level of an upstream of a service and failure domain.
    pub(crate) fn level(&self, name: &str, service_domain: &ServiceDomain) -> u8 {
        let Some(halvings) = self.divided.get(service_domain) else {
            return 0;
        };
        // Each halving keeps the upstreams whose hash has one more leading zero.
        let zeros = hash_of(hash_of(0, service_domain.1.as_str()), name).leading_zeros();
        if zeros >= halvings.common {
            0
        } else if halvings.local.is_some_and(|local| zeros >= local) {
            Self::KNOWN_LEVEL
        } else {
            Self::UNKNOWN_LEVEL
        }
    }

    fn halvings(&self, service_domain: &ServiceDomain) -> Halvings {
        let whole = Halvings {
            common: 0,
            local: None,
        };
        self.divided.get(service_domain).copied().unwrap_or(whole)
    }

    /// Identifies this division among others; 0 if nothing is divided.
    pub fn division_hash(&self) -> u32 {
        if !self.is_divided() {
            return 0;
        }
        let service_domains = self.divided.iter();
        let hash = service_domains.fold(0, |hash, ((service, domain), halvings)| {
            let hash = hash_of(hash_of(hash, service), domain.as_str());
            let local = halvings.local.map_or(u64::MAX, u64::from);
            prompt_cache::mix(prompt_cache::mix(hash, u64::from(halvings.common)), local)
        });
        (hash as u32).max(1)
    }
}

/// How often upstreams can be halved so that at least `least` of them are left.
fn halvings(upstreams: usize, least: usize) -> u32 {
    (upstreams / least).checked_ilog2().unwrap_or_default()
}

fn hash_of(seed: u64, text: &str) -> u64 {
    text.bytes()
        .fold(seed, |hash, byte| prompt_cache::mix(hash, u64::from(byte)))
}
