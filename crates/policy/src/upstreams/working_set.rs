use super::*;

/// Upstreams of a service up to which every host knows all of them.
const MAX_UNDIVIDED_UPSTREAMS: usize = 256;

/// Fewest upstreams of a larger service that a host knows in its own failure domain.
const MIN_LOCAL_UPSTREAMS: usize = 128;

/// Fewest upstreams of a larger service that all hosts know, over all failure domains.
const MIN_COMMON_UPSTREAMS: usize = 160;

/// Fewest of these in one failure domain.
const MIN_COMMON_PER_DOMAIN: usize = 8;

/// Halvings by which a place may differ from what would be announced now until hosts are notified
/// at once: they would know four times what they need, and more.
const MAX_HALVINGS_DIFFERENCE: u32 = 1;

/// Which upstreams the hosts of a failure domain know, where there are many.
///
/// What a host keeps, receives and looks at for each request would grow with the upstreams of
/// the whole installation otherwise. Each upstream has a level, which follows from its name
/// and from how many there are, so that all hosts come to the same one:
///
/// - those of level 0 are known to all hosts, so that a part of a prompt has one home for all;
/// - those of level 1 are known to the hosts of their own failure domain, too, and carry what
///   is to stay there;
/// - the others are known to none but the hosts that ask the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkingSet {
    /// How the upstreams of each place are divided, where they are.
    divided: BTreeMap<ServiceDomain, Halvings>,
}

/// How often the upstreams of a place are halved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Halvings {
    /// Until those are left that all hosts know.
    common: u32,
    /// Until those are left that hosts of the own failure domain know; `None` in another one.
    local: Option<u32>,
}

impl WorkingSet {
    /// Level up to which a host knows upstreams.
    pub const KNOWN_LEVEL: u8 = 1;

    /// Level of upstreams that no host knows but those that ask the store.
    const UNKNOWN_LEVEL: u8 = 2;

    /// Divides upstreams for the hosts of a failure domain.
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

    /// The same division as another host announced it.
    pub fn from_divided_places(places: &[DividedPlace]) -> Self {
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

    /// How the upstreams of each place are divided.
    pub fn divided_places(&self) -> Vec<DividedPlace> {
        let divided = self.divided.iter();
        let places = divided.map(|((service, domain), halvings)| DividedPlace {
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

    /// Whether upstreams are divided about as they would be now, as `now` says.
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

    /// Whether whoever knows the upstreams of a level by another division knows all of those
    /// of this one.
    pub fn is_within(&self, other: &Self) -> bool {
        let mut service_domains = other.divided.iter();
        service_domains.all(|(service_domain, before)| {
            let now = self.divided.get(service_domain);
            now.is_some_and(|now| now.common >= before.common && now.local >= before.local)
        })
    }

    /// Whether any host knows a part of the upstreams only.
    pub fn is_divided(&self) -> bool {
        !self.divided.is_empty()
    }

    /// Level of an upstream of a place.
    pub(crate) fn level(&self, name: &str, service_domain: &ServiceDomain) -> u8 {
        let Some(halvings) = self.divided.get(service_domain) else {
            return 0;
        };
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

    /// Tells this division from others; 0 if nothing is divided.
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

/// How often upstreams can be halved until so many of them are left, or a few more.
fn halvings(upstreams: usize, least: usize) -> u32 {
    (upstreams / least).checked_ilog2().unwrap_or_default()
}

fn hash_of(seed: u64, text: &str) -> u64 {
    text.bytes()
        .fold(seed, |hash, byte| prompt_cache::mix(hash, u64::from(byte)))
}
