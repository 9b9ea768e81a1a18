use super::*;

/// Weight of the newest demand in the moving average: shares that follow each
/// moment's demand move all the time, and slots stand idle on the way.
const NEWEST_WEIGHT: f64 = 0.4;

/// Slots kept free for pressing tiers, for each square root of their demand: the
/// spread of a Poisson count is the square root of its mean.
const HEADROOM_PER_ROOT: f64 = 1.5;

/// Part of a slot by which a host's total must be off before it is changed.
const HYSTERESIS: f64 = 0.75;

type Needs = [f64; Tier::COUNT];

/// What a coordinator keeps of one host.
#[derive(Clone, Debug)]
struct Received {
    at: Time,
    /// Moving average of its demand by target and tier.
    demand: BTreeMap<String, Needs>,
}

/// A group of upstreams as the coordinator divides it.
#[derive(Debug)]
pub(crate) struct Divided {
    pub(crate) name: String,
    pub(crate) slots: u32,
    pub(crate) targets: Vec<String>,
}

/// The slots of one group by host, in the order of the hosts' ids.
type Totals = BTreeMap<HostId, u32>;

/// How one group is divided.
#[derive(Debug, Default)]
struct Division {
    headroom: u32,
    totals: Totals,
}

impl Division {
    fn grant(&self, group: &str, host: &HostId) -> Grant {
        let before = self.totals.range::<HostId, _>(..host);
        Grant {
            first: before.map(|(_, slots)| slots).sum(),
            group: group.to_string(),
            headroom: self.headroom,
            slots: self.totals.get(host).copied().unwrap_or(0),
        }
    }
}

/// The demands that a coordinator has received, and the division of the domain's
/// slots by them. The division is made once for all hosts and kept for a while;
/// each new one changes as little of the last one as it can.
#[derive(Debug, Default)]
pub(crate) struct Coordinator {
    divided: BTreeMap<String, Division>,
    received: BTreeMap<HostId, Received>,
    hosts: BTreeSet<HostId>,
    made: Option<Time>,
    /// Most of the slots that are kept free.
    pub(crate) max_headroom_share: f64,
}

impl Coordinator {
    pub(crate) fn note_demand(
        &mut self,
        host: &HostId,
        demand: &BTreeMap<String, Demand>,
        now: Time,
    ) {
        let entry = self
            .received
            .entry(host.clone())
            .or_insert_with(|| Received {
                at: now,
                demand: demand.iter().map(first_needs).collect(),
            });
        entry.at = now;
        for needs in entry.demand.values_mut() {
            needs
                .iter_mut()
                .for_each(|need| *need *= 1.0 - NEWEST_WEIGHT);
        }
        for (target, demand) in demand {
            let needs = entry.demand.entry(target.clone()).or_default();
            for (need, count) in needs.iter_mut().zip(demand.by_tier) {
                *need += NEWEST_WEIGHT * f64::from(count);
            }
        }
    }

    /// Forgets what is older than `valid`.
    pub(crate) fn forget(&mut self, now: Time, valid: Duration) {
        self.received
            .retain(|_, received| now.since(received.at) <= valid);
    }

    /// Shares of one host in all groups. `hosts` are those that share the
    /// domain; one of which nothing has been observed is left its equal part,
    /// since it may have fallen back to it or have another coordinator. A division
    /// is kept for `keep`.
    pub(crate) fn grants(
        &mut self,
        host: &HostId,
        hosts: BTreeSet<HostId>,
        groups: &[Divided],
        now: Time,
        keep: Duration,
    ) -> Vec<Grant> {
        let fresh = self.made.is_some_and(|made| now.since(made) < keep);
        if !fresh || self.hosts != hosts {
            self.hosts = hosts;
            self.made = Some(now);
            self.divide(groups);
        }
        let divided = self.divided.iter();
        divided
            .map(|(group, division)| division.grant(group, host))
            .collect()
    }

    fn divide(&mut self, groups: &[Divided]) {
        let mut slots_for: BTreeMap<&str, f64> = BTreeMap::new();
        for group in groups {
            for target in &group.targets {
                *slots_for.entry(target).or_default() += f64::from(group.slots);
            }
        }
        self.divided = groups
            .iter()
            .map(|group| (group.name.clone(), self.divide_group(group, &slots_for)))
            .collect();
    }

    fn divide_group(&self, group: &Divided, slots_for: &BTreeMap<&str, f64>) -> Division {
        let part = |target: &str| f64::from(group.slots) / slots_for[target];
        let mut needs: Vec<(HostId, Needs)> = Vec::new();
        for host in &self.hosts {
            if let Some(received) = self.received.get(host) {
                needs.push((host.clone(), needs_of(received, &group.targets, part)));
            }
        }
        let headroom = self.headroom(group.slots, &needs);
        let usable = group.slots - headroom;
        let totals = self.totals(usable, needs);
        let none = Totals::new();
        let before = self.divided.get(&group.name);
        let before = before.map_or(&none, |division| &division.totals);
        Division {
            headroom,
            totals: whole(totals, before, usable),
        }
    }

    /// Slots that are granted to nobody. With a single host there are none: its
    /// own strict order does better.
    fn headroom(&self, slots: u32, needs: &[(HostId, Needs)]) -> u32 {
        if self.hosts.len() < 2 {
            return 0;
        }
        let pressing: f64 = needs
            .iter()
            .map(|(_, needs)| needs[..URGENT_TIERS].iter().sum::<f64>())
            .sum();
        let wanted = HEADROOM_PER_ROOT * pressing.sqrt();
        wanted
            .min(self.max_headroom_share * f64::from(slots))
            .round() as u32
    }

    /// How many slots each host should have.
    fn totals(&self, usable: u32, mut needs: Vec<(HostId, Needs)>) -> BTreeMap<HostId, f64> {
        let equal = f64::from(usable) / self.hosts.len().max(1) as f64;
        let unobserved = self
            .hosts
            .iter()
            .filter(|host| !self.received.contains_key(*host));
        let mut totals: BTreeMap<HostId, f64> =
            unobserved.map(|host| (host.clone(), equal)).collect();
        let mut left = f64::from(usable) - equal * totals.len() as f64;
        for tier in 0..Tier::COUNT {
            left = fill(&mut totals, &mut needs, tier, left);
        }
        // What nobody asked for is left for whoever gets a burst.
        let spare = left.max(0.0) / needs.len().max(1) as f64;
        for (host, _) in needs {
            *totals.entry(host).or_default() += spare;
        }
        totals
    }
}

fn first_needs((target, demand): (&String, &Demand)) -> (String, Needs) {
    (target.clone(), demand.by_tier.map(f64::from))
}

/// What a host could use of a group of upstreams, by tier: of its demand for
/// each target the part that falls to the group.
fn needs_of(received: &Received, targets: &[String], part: impl Fn(&str) -> f64) -> Needs {
    let mut needs = Needs::default();
    for target in targets {
        let Some(demand) = received.demand.get(target) else {
            continue;
        };
        for (need, count) in needs.iter_mut().zip(demand) {
            *need += count * part(target);
        }
    }
    needs
}

/// Gives what is left to the needs of one tier, the smallest first, so that a
/// host with a long queue takes nothing that a host with a short one needs.
/// Returns what is left then.
fn fill(
    totals: &mut BTreeMap<HostId, f64>,
    needs: &mut [(HostId, Needs)],
    tier: usize,
    mut left: f64,
) -> f64 {
    needs.sort_by(|a, b| a.1[tier].total_cmp(&b.1[tier]));
    for (place, (host, need)) in needs.iter().enumerate() {
        let most = left / (needs.len() - place) as f64;
        let part = need[tier].min(most).max(0.0);
        *totals.entry(host.clone()).or_default() += part;
        left -= part;
    }
    left
}

/// Whole slots that add up to `usable`: a host keeps what it had if that is
/// about right, and the rest goes by largest remainder.
fn whole(totals: BTreeMap<HostId, f64>, before: &Totals, usable: u32) -> Totals {
    let mut wholes: Vec<(HostId, f64, u32)> = totals
        .into_iter()
        .map(|(host, total)| {
            let had = before.get(&host).copied();
            let keep = had.filter(|had| (f64::from(*had) - total).abs() < HYSTERESIS);
            let whole = keep.unwrap_or(total.floor() as u32);
            (host, total, whole)
        })
        .collect();
    loop {
        let sum: u32 = wholes.iter().map(|(_, _, whole)| whole).sum();
        let over = |(_, total, whole): &(HostId, f64, u32)| f64::from(*whole) - total;
        let by_excess =
            |a: &&mut (HostId, f64, u32), b: &&mut (HostId, f64, u32)| over(a).total_cmp(&over(b));
        if sum < usable {
            let Some(least) = wholes.iter_mut().min_by(by_excess) else {
                break;
            };
            least.2 += 1;
        } else if sum > usable {
            let holders = wholes.iter_mut().filter(|(_, _, whole)| *whole > 0);
            let Some(most) = holders.max_by(by_excess) else {
                break;
            };
            most.2 -= 1;
        } else {
            break;
        }
    }
    wholes
        .into_iter()
        .map(|(host, _, whole)| (host, whole))
        .collect()
}
