//! Divides the slots of brittle upstreams among the hosts.

use super::*;

/// Time between two divisions of the slots, which include hosts that have joined.
const DIVISION_INTERVAL: Duration = Duration::from_secs(1);

/// Hash key for the position of a host that knows only a subset of the hosts.
const POSITION_KEY: &str = "place";

impl Controller {
    pub(crate) fn tick_brittleness(&mut self, now: Time) {
        if now >= self.next_division {
            self.next_division = now + DIVISION_INTERVAL;
            self.divide_brittle_slots(now);
        }
        if self.has_brittle_upstreams {
            let unix_ms = self.early_refusal.unix_ms(now);
            for state in &mut self.pool.states {
                state.brittleness.update_time(unix_ms);
            }
        }
    }

    /// Computes the guaranteed slots of this host. The guaranteed slots of all hosts add up to the
    /// slots of the upstreams. Hosts that are not observed keep their share, because they may be
    /// partitioned from this host and still send requests. If there are more hosts than slots for a
    /// target, several hosts share a slot by time slices.
    pub(crate) fn divide_brittle_slots(&mut self, now: Time) {
        let mut states = self.pool.states.iter();
        self.has_brittle_upstreams =
            states.any(|state| state.brittleness.rejection_limit().is_some());
        if !self.has_brittle_upstreams {
            return;
        }
        let (position, hosts) = self.position_among_hosts(now);
        // Groups without slots hold removed upstreams that still have requests.
        let groups = self.pool.groups.iter();
        for group in groups.filter(|group| group.slots > 0) {
            let all = group.slots as usize;
            let slice = TimeSlice {
                count: hosts.div_ceil(all) as u64,
                index: (position / all) as u64,
            };
            let (position, period) = if hosts > all {
                (position % all, all)
            } else {
                (position, hosts)
            };
            let mut first = 0;
            for upstream in &group.upstream_indexes {
                let state = &mut self.pool.states[*upstream];
                let slots = state.definition.slots() as usize;
                let guaranteed_slots = count_congruent(first, slots, position, period);
                state
                    .brittleness
                    .set_division(hosts as u32, guaranteed_slots, slice);
                first += slots;
            }
        }
    }

    /// Returns this host's position among all hosts that may send requests, and the number of those
    /// hosts.
    fn position_among_hosts(&self, now: Time) -> (usize, usize) {
        let own_host = &self.options.host;
        if self.neighbors.exchanges_with_subset() {
            let count = self.neighbors.remembered_count(own_host, now) + 1;
            let position = rendezvous_weight(POSITION_KEY, own_host) as usize % count;
            return (position, count);
        }
        let mut before = 0;
        let mut count = 1;
        for host in self.neighbors.remembered_hosts(own_host, now) {
            before += usize::from(host < own_host);
            count += 1;
        }
        (before, count)
    }
}

impl Pool {
    /// Slots of a target that this host may use regardless of the other hosts; `None` if none of
    /// the target's upstreams is brittle.
    pub(crate) fn guaranteed_target_slots(&self, target: &Target) -> Option<u32> {
        let mut copies = self.upstreams_of(target);
        let is_brittle = |state: &UpstreamState| state.brittleness.rejection_limit().is_some();
        copies.clone().any(is_brittle).then(|| {
            let slots = |state: &UpstreamState| match state.brittleness.rejection_limit() {
                Some(_) => state.brittleness.guaranteed_slots,
                None => state.definition.slots(),
            };
            copies.by_ref().map(slots).sum()
        })
    }
}

/// Counts the numbers from `first` to `first + count - 1` that leave `remainder` when divided by
/// `divisor`.
fn count_congruent(first: usize, count: usize, remainder: usize, divisor: usize) -> u32 {
    let before = (remainder + divisor - first % divisor) % divisor;
    let numbers = (before..count).step_by(divisor);
    numbers.count() as u32
}
