use super::*;

/// Upstreams of a service up to which every host knows all of them.
const MAX_WHOLE: usize = 256;

/// Fewest upstreams of a larger service that a host knows in its own failure domain.
const MIN_NEAR: usize = 128;

/// Fewest upstreams of a larger service that a host knows in each other failure domain, for
/// what its own one cannot take.
const MIN_FAR: usize = 8;

/// Doublings by which a place may have changed until the upstreams are divided anew: each time
/// all hosts are told all that they know.
const MAX_DRIFT: u32 = 1;

/// Which upstreams the hosts of a failure domain know, where there are many.
///
/// What a host keeps, is told and looks at for each request would grow with the upstreams of
/// the whole installation otherwise. An upstream has a level: at level 0 it is among those
/// that every host of the domain knows, and each level doubles what is known of a service
/// that is divided. Levels follow from the names of the upstreams and how many there are, so
/// all hosts of a domain know the same ones, and homes of prompts stay common to them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WorkingSet {
    /// How often the upstreams of a place are halved until those of level 0 are left.
    halvings: BTreeMap<Place, u32>,
    /// Seed of the levels: each failure domain knows other ones of the others.
    seed: u64,
}

impl WorkingSet {
    /// Divides upstreams for the hosts of a failure domain.
    pub fn divide(own: &FailureDomainId, census: &UpstreamCensus) -> Self {
        let mut services: BTreeMap<&str, usize> = BTreeMap::new();
        for ((service, _), count) in census.counts() {
            *services.entry(service).or_default() += count;
        }
        let places = census.counts().iter();
        let divided = places.filter(|((service, _), _)| services[service.as_str()] > MAX_WHOLE);
        let halvings = divided.map(|(place, count)| {
            let least = if place.1 == *own { MIN_NEAR } else { MIN_FAR };
            let halvings = (count / least).checked_ilog2().unwrap_or_default();
            (place.clone(), halvings)
        });
        let halvings = halvings.filter(|(_, halvings)| *halvings > 0);
        Self {
            halvings: halvings.collect(),
            seed: hash_of(0, own.as_str()),
        }
    }

    /// Whether upstreams are still divided much as they would be now, as `now` says.
    pub fn fits(&self, now: &Self) -> bool {
        let places = self.halvings.keys().chain(now.halvings.keys());
        let mut drifts = places.map(|place| self.halvings(place).abs_diff(now.halvings(place)));
        drifts.all(|drift| drift <= MAX_DRIFT)
    }

    /// Whether whoever knows the upstreams of a level by another division knows all of those
    /// of this one.
    pub fn is_within(&self, other: &Self) -> bool {
        let mut places = other.halvings.iter();
        places.all(|(place, halvings)| self.halvings(place) >= *halvings)
    }

    /// Whether any host knows a part of the upstreams only.
    pub fn is_divided(&self) -> bool {
        !self.halvings.is_empty()
    }

    /// Level from which on a host knows an upstream of a place.
    pub(crate) fn level(&self, name: &str, place: &Place) -> u8 {
        let halvings = self.halvings(place);
        let kept = hash_of(self.seed, name).leading_zeros();
        halvings.saturating_sub(kept) as u8
    }

    /// Tells this division from others; 0 if nothing is divided.
    pub fn division(&self) -> u32 {
        if !self.is_divided() {
            return 0;
        }
        let places = self.halvings.iter();
        let hash = places.fold(self.seed, |hash, ((service, domain), halvings)| {
            let hash = hash_of(hash_of(hash, service), domain.as_str());
            prompt_cache::mix(hash, u64::from(*halvings))
        });
        (hash as u32).max(1)
    }

    fn halvings(&self, place: &Place) -> u32 {
        self.halvings.get(place).copied().unwrap_or_default()
    }
}

fn hash_of(seed: u64, text: &str) -> u64 {
    text.bytes()
        .fold(seed, |hash, byte| prompt_cache::mix(hash, u64::from(byte)))
}
