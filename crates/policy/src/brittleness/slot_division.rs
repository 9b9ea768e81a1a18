//! Each host's part of the slots of brittle upstreams.

use super::*;

/// Time between two divisions of the slots, for hosts that come.
const DIVISION_INTERVAL: Duration = Duration::from_secs(1);

/// Key of a host's place among more hosts than it knows.
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

    /// Works out this host's parts: those of all hosts add up to the slots. Hosts that are not
    /// observed keep theirs, as they may be cut off from this one and send. Where there are more
    /// hosts than slots of a target, several share a slot by turns.
    pub(crate) fn divide_brittle_slots(&mut self, now: Time) {
        let mut states = self.pool.states.iter();
        self.has_brittle_upstreams =
            states.any(|state| state.brittleness.rejection_limit().is_some());
        if !self.has_brittle_upstreams {
            return;
        }
        let (position, hosts) = self.position_among_hosts(now);
        // Upstreams that are gone and still have requests are groups without slots.
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

    /// This host's place among all that may send requests, and how many those are.
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
    /// Slots of a target that this host may use in any case; `None` where none of its upstreams is
    /// brittle.
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

/// How many of the numbers from `first` on leave `rest` when divided by `n`.
fn count_congruent(first: usize, count: usize, remainder: usize, divisor: usize) -> u32 {
    let before = (remainder + divisor - first % divisor) % divisor;
    let numbers = (before..count).step_by(divisor);
    numbers.count() as u32
}
