use super::*;

/// Weight of the newest demand in the exponential moving average. If the shares followed the
/// momentary demand, they would change all the time, and slots would be idle while they move from
/// one host to another.
const DEMAND_SMOOTHING: f64 = 0.4;

/// Ratio of the slots kept free for the most urgent tiers to the square root of their demand. The
/// standard deviation of a Poisson distribution is the square root of its mean.
const HEADROOM_FACTOR: f64 = 1.5;

/// Difference between a host's number of slots and its ideal number, in slots, from which the
/// number is changed.
const HYSTERESIS_SLOTS: f64 = 0.75;

/// Slots that a host could use, by tier.
type Needs = [f64; Tier::COUNT];

/// The demand of one host, as received by the coordinator.
#[derive(Clone, Debug)]
struct HostDemand {
    /// When the newest demand was received.
    received_at: Time,
    /// Moving average of the demand by target and tier.
    average: BTreeMap<String, Needs>,
}

/// The slots of an upstream group, to be allocated to hosts, and the targets that it serves.
#[derive(Debug)]
pub(crate) struct GroupCapacity {
    pub(crate) name: String,
    pub(crate) slots: u32,
    pub(crate) targets: Vec<String>,
}

/// The slots of one group by host, in the order of host ids.
type SlotsByHost = BTreeMap<HostId, u32>;

/// How the slots of one group are allocated.
#[derive(Debug, Default)]
struct GroupAllocation {
    /// Slots that are granted to no host.
    headroom: u32,
    slots_by_host: SlotsByHost,
}

impl GroupAllocation {
    fn grant(&self, group: &str, host: &HostId) -> Grant {
        let preceding = self.slots_by_host.range::<HostId, _>(..host);
        Grant {
            first: preceding.map(|(_, slots)| slots).sum(),
            group: group.to_string(),
            headroom: self.headroom,
            slots: self.slots_by_host.get(host).copied().unwrap_or(0),
        }
    }
}

/// The demands that a coordinator has received, and the allocation of the domain's slots by them.
/// An allocation is computed once for all hosts and kept for a while. Each new allocation changes
/// the previous one as little as possible.
#[derive(Debug, Default)]
pub(crate) struct Coordinator {
    allocations: BTreeMap<String, GroupAllocation>,
    demands: BTreeMap<HostId, HostDemand>,
    hosts: BTreeSet<HostId>,
    allocated_at: Option<Time>,
    /// Upper bound of the headroom, as a share of the group's slots.
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
            .demands
            .entry(host.clone())
            .or_insert_with(|| HostDemand {
                received_at: now,
                average: demand.iter().map(initial_needs).collect(),
            });
        entry.received_at = now;
        for needs in entry.average.values_mut() {
            needs
                .iter_mut()
                .for_each(|need| *need *= 1.0 - DEMAND_SMOOTHING);
        }
        for (target, demand) in demand {
            let needs = entry.average.entry(target.clone()).or_default();
            for (need, count) in needs.iter_mut().zip(demand.by_tier) {
                *need += DEMAND_SMOOTHING * f64::from(count);
            }
        }
    }

    /// Drops demands that were received longer than `max_age` ago.
    pub(crate) fn expire(&mut self, now: Time, max_age: Duration) {
        self.demands
            .retain(|_, demand| now.since(demand.received_at) <= max_age);
    }

    /// Returns the shares of one host in all groups. `hosts` are the hosts that share the domain. A
    /// host without a known demand is granted an equal share, because it may have fallen back to
    /// that share or may use another coordinator. An allocation is reused until it is
    /// `max_allocation_age` old or the hosts change.
    pub(crate) fn grants(
        &mut self,
        host: &HostId,
        hosts: BTreeSet<HostId>,
        groups: &[GroupCapacity],
        now: Time,
        max_allocation_age: Duration,
    ) -> Vec<Grant> {
        let fresh = self
            .allocated_at
            .is_some_and(|at| now.since(at) < max_allocation_age);
        if !fresh || self.hosts != hosts {
            self.hosts = hosts;
            self.allocated_at = Some(now);
            self.allocate(groups);
        }
        let allocations = self.allocations.iter();
        allocations
            .map(|(group, allocation)| allocation.grant(group, host))
            .collect()
    }

    fn allocate(&mut self, groups: &[GroupCapacity]) {
        let mut slots_by_target: BTreeMap<&str, f64> = BTreeMap::new();
        for group in groups {
            for target in &group.targets {
                *slots_by_target.entry(target).or_default() += f64::from(group.slots);
            }
        }
        self.allocations = groups
            .iter()
            .map(|group| {
                (
                    group.name.clone(),
                    self.allocate_group(group, &slots_by_target),
                )
            })
            .collect();
    }

    fn allocate_group(
        &self,
        group: &GroupCapacity,
        slots_by_target: &BTreeMap<&str, f64>,
    ) -> GroupAllocation {
        let fraction = |target: &str| f64::from(group.slots) / slots_by_target[target];
        let mut needs: Vec<(HostId, Needs)> = Vec::new();
        for host in &self.hosts {
            if let Some(demand) = self.demands.get(host) {
                needs.push((host.clone(), group_needs(demand, &group.targets, fraction)));
            }
        }
        let headroom = self.headroom(group.slots, &needs);
        let usable = group.slots - headroom;
        let ideal = self.ideal_slots(usable, needs);
        let none = SlotsByHost::new();
        let previous = self.allocations.get(&group.name);
        let previous = previous.map_or(&none, |allocation| &allocation.slots_by_host);
        GroupAllocation {
            headroom,
            slots_by_host: round_slots(ideal, previous, usable),
        }
    }

    /// Number of slots that are granted to no host. A single host needs no headroom: its own strict
    /// priority order serves urgent requests better.
    fn headroom(&self, slots: u32, needs: &[(HostId, Needs)]) -> u32 {
        if self.hosts.len() < 2 {
            return 0;
        }
        let pressing: f64 = needs
            .iter()
            .map(|(_, needs)| needs[..URGENT_TIERS].iter().sum::<f64>())
            .sum();
        let wanted = HEADROOM_FACTOR * pressing.sqrt();
        wanted
            .min(self.max_headroom_share * f64::from(slots))
            .round() as u32
    }

    /// The number of slots that each host should have, before rounding.
    fn ideal_slots(&self, usable: u32, mut needs: Vec<(HostId, Needs)>) -> BTreeMap<HostId, f64> {
        let equal = f64::from(usable) / self.hosts.len().max(1) as f64;
        let without_demand = self
            .hosts
            .iter()
            .filter(|host| !self.demands.contains_key(*host));
        let mut ideal: BTreeMap<HostId, f64> =
            without_demand.map(|host| (host.clone(), equal)).collect();
        let mut remaining = f64::from(usable) - equal * ideal.len() as f64;
        for tier in 0..Tier::COUNT {
            remaining = allocate_tier(&mut ideal, &mut needs, tier, remaining);
        }
        // Slots beyond the demand are divided equally, for hosts that get a burst of requests.
        let spare = remaining.max(0.0) / needs.len().max(1) as f64;
        for (host, _) in needs {
            *ideal.entry(host).or_default() += spare;
        }
        ideal
    }
}

fn initial_needs((target, demand): (&String, &Demand)) -> (String, Needs) {
    (target.clone(), demand.by_tier.map(f64::from))
}

/// The slots that a host could use in a group, by tier. Of the demand for each target, the group
/// gets the fraction that it has of all slots for the target.
fn group_needs(demand: &HostDemand, targets: &[String], fraction: impl Fn(&str) -> f64) -> Needs {
    let mut needs = Needs::default();
    for target in targets {
        let Some(average) = demand.average.get(target) else {
            continue;
        };
        for (need, count) in needs.iter_mut().zip(average) {
            *need += count * fraction(target);
        }
    }
    needs
}

/// Allocates the remaining slots to the needs of one tier by max-min fairness: the smallest needs
/// come first, so that a host with a long queue takes no slots that a host with a short queue
/// needs. Returns the slots that remain afterwards.
fn allocate_tier(
    totals: &mut BTreeMap<HostId, f64>,
    needs: &mut [(HostId, Needs)],
    tier: usize,
    mut remaining: f64,
) -> f64 {
    needs.sort_by(|a, b| a.1[tier].total_cmp(&b.1[tier]));
    for (index, (host, need)) in needs.iter().enumerate() {
        let most = remaining / (needs.len() - index) as f64;
        let granted = need[tier].min(most).max(0.0);
        *totals.entry(host.clone()).or_default() += granted;
        remaining -= granted;
    }
    remaining
}

/// Rounds the slots of each host to whole numbers with the sum `usable`. A host keeps its previous
/// number if that is close to the ideal one. The other slots are assigned by the largest remainder
/// method.
fn round_slots(totals: BTreeMap<HostId, f64>, previous: &SlotsByHost, usable: u32) -> SlotsByHost {
    let mut rounded: Vec<(HostId, f64, u32)> = totals
        .into_iter()
        .map(|(host, total)| {
            let previous_slots = previous.get(&host).copied();
            let kept = previous_slots.filter(|previous_slots| {
                (f64::from(*previous_slots) - total).abs() < HYSTERESIS_SLOTS
            });
            let whole = kept.unwrap_or(total.floor() as u32);
            (host, total, whole)
        })
        .collect();
    loop {
        let sum: u32 = rounded.iter().map(|(_, _, whole)| whole).sum();
        let excess = |(_, total, whole): &(HostId, f64, u32)| f64::from(*whole) - total;
        let by_excess = |a: &&mut (HostId, f64, u32), b: &&mut (HostId, f64, u32)| {
            excess(a).total_cmp(&excess(b))
        };
        if sum < usable {
            let Some(least) = rounded.iter_mut().min_by(by_excess) else {
                break;
            };
            least.2 += 1;
        } else if sum > usable {
            let holders = rounded.iter_mut().filter(|(_, _, whole)| *whole > 0);
            let Some(most) = holders.max_by(by_excess) else {
                break;
            };
            most.2 -= 1;
        } else {
            break;
        }
    }
    rounded
        .into_iter()
        .map(|(host, _, whole)| (host, whole))
        .collect()
}
