use super::*;

/// A service in a failure domain.
pub(crate) type Place = (String, FailureDomainId);

/// Where the upstreams of an installation are, and how many: all that is kept of those that a
/// host does not know.
#[derive(Clone, Debug, Default)]
pub struct UpstreamCensus {
    counts: BTreeMap<Place, usize>,
    /// Number of each upstream's place, by its name.
    placed: HashMap<String, u32>,
    places: Vec<Place>,
}

impl UpstreamCensus {
    /// Notes where an upstream is.
    pub fn note(&mut self, name: &str, service: &str, domain: &FailureDomainId) {
        self.forget(name);
        let place = (service.to_string(), domain.clone());
        let known = self.places.iter().position(|known| *known == place);
        let number = known.unwrap_or_else(|| {
            self.places.push(place.clone());
            self.places.len() - 1
        });
        *self.counts.entry(place).or_default() += 1;
        self.placed.insert(name.to_string(), number as u32);
    }

    /// An upstream is gone.
    pub fn forget(&mut self, name: &str) {
        let number = self.placed.remove(name);
        let place = number.and_then(|number| self.places.get(number as usize));
        if let Some(count) = place.and_then(|place| self.counts.get_mut(place)) {
            *count -= 1;
        }
    }

    /// How many upstreams are in each place.
    pub(crate) const fn counts(&self) -> &BTreeMap<Place, usize> {
        &self.counts
    }

    /// Level from which on a host knows an upstream; 0 for one that is not noted.
    pub fn level(&self, name: &str, working_set: &WorkingSet) -> u8 {
        let number = self.placed.get(name);
        let place = number.and_then(|number| self.places.get(*number as usize));
        place.map_or(0, |place| working_set.level(name, place))
    }

    /// Levels of all upstreams.
    pub fn levels(&self, working_set: &WorkingSet) -> Vec<(String, u8)> {
        let names = self.placed.keys();
        names
            .map(|name| (name.clone(), self.level(name, working_set)))
            .collect()
    }
}
