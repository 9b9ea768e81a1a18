use super::*;

/// What a steward keeps of one host.
#[derive(Clone, Debug)]
struct Heard {
    at: Time,
    demand: BTreeMap<String, Demand>,
}

/// The demands that a steward has heard, and the division of the domain's
/// slots by them.
#[derive(Debug, Default)]
pub(crate) struct Steward {
    division: Division,
    heard: BTreeMap<HostId, Heard>,
}

/// The last division, kept for a while: it is the same work for one host as for
/// all, and each host asks once an interval.
#[derive(Debug, Default)]
struct Division {
    hosts: BTreeSet<HostId>,
    made: Time,
    parts: BTreeMap<HostId, Vec<Grant>>,
}

/// One upstream as the steward divides it.
#[derive(Debug)]
pub(crate) struct Divided<'a> {
    pub(crate) id: &'a UpstreamId,
    pub(crate) slots: u32,
    pub(crate) targets: Vec<String>,
}

impl Steward {
    pub(crate) fn note_demand(
        &mut self,
        host: &HostId,
        demand: BTreeMap<String, Demand>,
        now: Time,
    ) {
        self.heard.insert(host.clone(), Heard { at: now, demand });
    }

    /// Forgets what is older than `valid`.
    pub(crate) fn forget(&mut self, now: Time, valid: Duration) {
        self.heard.retain(|_, heard| now.since(heard.at) <= valid);
    }

    /// Shares of one host in all upstreams. `hosts` are those that share the
    /// domain; one of which nothing has been heard is left its equal part,
    /// since it may have fallen back to it or have another steward. A division
    /// is kept for `keep`.
    pub(crate) fn grants(
        &mut self,
        host: &HostId,
        hosts: BTreeSet<HostId>,
        upstreams: &[Divided<'_>],
        now: Time,
        keep: Duration,
    ) -> Vec<Grant> {
        let fresh = now.since(self.division.made) < keep && self.division.hosts == hosts;
        if !fresh || self.division.parts.is_empty() {
            let parts = self.divide_all(&hosts, upstreams);
            self.division = Division {
                hosts,
                made: now,
                parts,
            };
        }
        self.division.parts.get(host).cloned().unwrap_or_default()
    }

    fn divide_all(
        &self,
        hosts: &BTreeSet<HostId>,
        upstreams: &[Divided<'_>],
    ) -> BTreeMap<HostId, Vec<Grant>> {
        let mut served_by: BTreeMap<&str, f64> = BTreeMap::new();
        for upstream in upstreams {
            for target in &upstream.targets {
                *served_by.entry(target).or_default() += 1.0;
            }
        }
        let mut all: BTreeMap<HostId, Vec<Grant>> = BTreeMap::new();
        for upstream in upstreams {
            for (host, slots) in self.divide(hosts, upstream, &served_by) {
                all.entry(host).or_default().push(Grant {
                    slots,
                    upstream: upstream.id.clone(),
                });
            }
        }
        all
    }

    fn divide(
        &self,
        hosts: &BTreeSet<HostId>,
        upstream: &Divided<'_>,
        served_by: &BTreeMap<&str, f64>,
    ) -> BTreeMap<HostId, u32> {
        let equal = f64::from(upstream.slots) / hosts.len().max(1) as f64;
        let mut parts: BTreeMap<&HostId, f64> = BTreeMap::new();
        let mut left = f64::from(upstream.slots);
        let mut needs: Vec<(&HostId, [f64; Tier::COUNT])> = Vec::new();
        for host in hosts {
            match self.heard.get(host) {
                Some(heard) => needs.push((host, need(heard, upstream, served_by))),
                None => {
                    parts.insert(host, equal);
                    left -= equal;
                }
            }
        }
        for tier in 0..Tier::COUNT {
            left = fill(&mut parts, &mut needs, tier, left);
        }
        // What nobody asked for is left for whoever gets a burst.
        let spare = left / needs.len().max(1) as f64;
        for (host, _) in &needs {
            *parts.entry(host).or_default() += spare;
        }
        round(upstream, parts)
    }
}

/// What a host could use of one upstream, by tier: its demand for each target,
/// spread over the upstreams that serve it.
fn need(
    heard: &Heard,
    upstream: &Divided<'_>,
    served_by: &BTreeMap<&str, f64>,
) -> [f64; Tier::COUNT] {
    let mut need = [0.0; Tier::COUNT];
    for target in &upstream.targets {
        let Some(demand) = heard.demand.get(target) else {
            continue;
        };
        for (need, count) in need.iter_mut().zip(demand.by_tier) {
            *need += f64::from(count) / served_by[target.as_str()];
        }
    }
    need
}

/// Gives what is left to the needs of one tier, the smallest first, so that a
/// host with a long queue takes nothing that a host with a short one needs.
/// Returns what is left then.
fn fill<'a>(
    parts: &mut BTreeMap<&'a HostId, f64>,
    needs: &mut [(&'a HostId, [f64; Tier::COUNT])],
    tier: usize,
    mut left: f64,
) -> f64 {
    needs.sort_by(|a, b| a.1[tier].total_cmp(&b.1[tier]));
    for (place, (host, need)) in needs.iter().enumerate() {
        let most = left / (needs.len() - place) as f64;
        let part = need[tier].min(most).max(0.0);
        *parts.entry(host).or_default() += part;
        left -= part;
    }
    left
}

/// Breaks a tie between two hosts, differently for each upstream.
fn luck(upstream: &UpstreamId, host: &HostId) -> u64 {
    let mut hasher = DefaultHasher::new();
    upstream.hash(&mut hasher);
    host.hash(&mut hasher);
    hasher.finish()
}

/// Whole slots by largest remainder. Which host gains by the rounding differs
/// from upstream to upstream, so that no host loses everywhere.
fn round(upstream: &Divided<'_>, parts: BTreeMap<&HostId, f64>) -> BTreeMap<HostId, u32> {
    let whole: u32 = parts.values().map(|part| part.floor() as u32).sum();
    let mut rest = upstream.slots.saturating_sub(whole);
    let mut order: Vec<(&HostId, f64)> = parts.iter().map(|(host, part)| (*host, *part)).collect();
    order.sort_by(|a, b| {
        let by_remainder = b.1.fract().total_cmp(&a.1.fract());
        by_remainder.then_with(|| luck(upstream.id, a.0).cmp(&luck(upstream.id, b.0)))
    });
    order
        .into_iter()
        .map(|(host, part)| {
            let extra = u32::from(rest > 0);
            rest -= extra;
            (host.clone(), part.floor() as u32 + extra)
        })
        .collect()
}
