use super::*;

/// The routes of a document, indexed by host name and sorted by path prefix.
///
/// A scan of all routes would cost processor time per request that grows with the configuration:
/// with 7,000 routes it takes 0.17 ms, as much as all other decisions on a request, and 1.4 ms on
/// a host with 0.12 of a core. A binary search among sorted prefixes takes less than 1 us.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(from = "BTreeMap<RouteId, Route>", into = "BTreeMap<RouteId, Route>")]
pub struct Routes {
    by_hostname: HashMap<String, HostnameRoutes>,
    routes: Vec<(RouteId, Route)>,
}

/// The routes of one host name.
#[derive(Clone, Debug, Default)]
struct HostnameRoutes {
    /// Lengths of all prefixes. Few distinct lengths occur, so trying each one is cheap.
    prefix_lengths: BTreeSet<usize>,
    /// Indexes into the list of all routes, sorted by prefix.
    indexes: Vec<usize>,
}

impl Routes {
    pub(crate) fn ids(&self) -> impl Iterator<Item = &RouteId> {
        self.routes.iter().map(|(id, _)| id)
    }

    /// Finds the route of a request: among the routes of its host name, the one with the longest
    /// prefix of its path.
    pub fn find(&self, hostname: &str, path: &str) -> Option<&Route> {
        let hostname_routes = match self.by_hostname.get(hostname) {
            Some(hostname_routes) => hostname_routes,
            None => self.by_hostname.get(&hostname.to_ascii_lowercase())?,
        };
        let prefix_lengths = hostname_routes.prefix_lengths.range(..=path.len()).rev();
        prefix_lengths
            .filter_map(|length| path.get(..*length))
            .find_map(|prefix| self.find_prefix(hostname_routes, prefix))
    }

    fn find_prefix(&self, hostname_routes: &HostnameRoutes, prefix: &str) -> Option<&Route> {
        let end = hostname_routes
            .indexes
            .partition_point(|index| self.prefix_at(*index) <= prefix);
        let index = hostname_routes.indexes[..end].last()?;
        (self.prefix_at(*index) == prefix).then(|| &self.routes[*index].1)
    }

    fn prefix_at(&self, index: usize) -> &str {
        &self.routes[index].1.prefix
    }
}

impl From<BTreeMap<RouteId, Route>> for Routes {
    fn from(routes: BTreeMap<RouteId, Route>) -> Self {
        let mut built = Self {
            by_hostname: HashMap::default(),
            routes: routes.into_iter().collect(),
        };
        for (index, (_, route)) in built.routes.iter().enumerate() {
            let hostname = route.hostname.to_ascii_lowercase();
            let hostname_routes = built.by_hostname.entry(hostname).or_default();
            hostname_routes.prefix_lengths.insert(route.prefix.len());
            hostname_routes.indexes.push(index);
        }
        let routes = &built.routes;
        for hostname_routes in built.by_hostname.values_mut() {
            // The sort must be stable: of two routes with the same prefix, the one with the
            // later id takes effect.
            hostname_routes
                .indexes
                .sort_by(|first, second| routes[*first].1.prefix.cmp(&routes[*second].1.prefix));
        }
        built
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
