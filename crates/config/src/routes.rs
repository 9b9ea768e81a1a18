use super::*;

/// The routes of a document, to be found by host name and path.
///
/// What goes wrong with a walk over all of them: with 7,000 routes one request takes 0.17 ms
/// of a processor to find its own, as much as all its decisions, and hosts with 0.12 of a
/// core wait for 1.4 ms. One would notice processor time a request that grows with the
/// configuration. By the order of prefixes it takes under 1 us (`benches/decision`).
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "BTreeMap<RouteId, Route>", into = "BTreeMap<RouteId, Route>")]
pub struct Routes {
    by_hostname: HashMap<String, HostRoutes>,
    routes: Vec<(RouteId, Route)>,
}

/// The routes of one host name.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    /// Lengths of prefixes that occur; there are few.
    lengths: BTreeSet<usize>,
    /// Places among all routes, in the order of the prefixes.
    places: Vec<usize>,
}

impl Routes {
    /// The route of a request: among those of its host name the one with the
    /// longest prefix of its path.
    pub fn find(&self, hostname: &str, path: &str) -> Option<&Route> {
        let own = match self.by_hostname.get(hostname) {
            Some(own) => own,
            None => self.by_hostname.get(&hostname.to_ascii_lowercase())?,
        };
        let lengths = own.lengths.range(..=path.len()).rev();
        lengths
            .filter_map(|length| path.get(..*length))
            .find_map(|prefix| self.with_prefix(own, prefix))
    }

    fn with_prefix(&self, own: &HostRoutes, prefix: &str) -> Option<&Route> {
        let after = own
            .places
            .partition_point(|place| self.prefix(*place) <= prefix);
        let place = own.places[..after].last()?;
        (self.prefix(*place) == prefix).then(|| &self.routes[*place].1)
    }

    fn prefix(&self, place: usize) -> &str {
        &self.routes[place].1.prefix
    }
}

impl From<BTreeMap<RouteId, Route>> for Routes {
    fn from(routes: BTreeMap<RouteId, Route>) -> Self {
        let mut found = Self {
            by_hostname: HashMap::default(),
            routes: routes.into_iter().collect(),
        };
        for (place, (_, route)) in found.routes.iter().enumerate() {
            let hostname = route.hostname.to_ascii_lowercase();
            let own = found.by_hostname.entry(hostname).or_default();
            own.lengths.insert(route.prefix.len());
            own.places.push(place);
        }
        let routes = &found.routes;
        for own in found.by_hostname.values_mut() {
            // Stable: of two routes with one prefix the one with the later id counts.
            own.places
                .sort_by(|one, other| routes[*one].1.prefix.cmp(&routes[*other].1.prefix));
        }
        found
    }
}

impl From<Routes> for BTreeMap<RouteId, Route> {
    fn from(routes: Routes) -> Self {
        routes.routes.into_iter().collect()
    }
}

impl PartialEq for Routes {
    fn eq(&self, other: &Self) -> bool {
        self.routes == other.routes
    }
}
