//! Each host's part of the slots of brittle upstreams.

use super::*;

/// Time between two divisions of the slots, for hosts that come.
const DIVIDE_INTERVAL: Duration = Duration::from_secs(1);

/// Key of a host's place among more hosts than it knows.
const PLACE_KEY: &str = "place";

impl Controller {
    pub(crate) fn tick_brittleness(&mut self, now: Time) {
        if now >= self.next_division {
            self.next_division = now + DIVIDE_INTERVAL;
            self.divide_brittle(now);
        }
        if self.has_brittle {
            let unix_ms = self.early_refusal.unix_ms(now);
            for state in &mut self.pool.states {
                state.brittleness.follow_time(unix_ms);
            }
        }
    }

    /// Works out this host's parts: those of all hosts add up to the slots. Hosts that are not
    /// observed keep theirs, as they may be cut off from this one and send. Where there are more
    /// hosts than slots of a target, several share a slot by turns.
    pub(crate) fn divide_brittle(&mut self, now: Time) {
        let mut states = self.pool.states.iter();
        self.has_brittle = states.any(|state| state.brittleness.rate().is_some());
        if !self.has_brittle {
            return;
        }
        let (place, hosts) = self.place_among_hosts(now);
        // Upstreams that are gone and still have requests are groups without slots.
        let groups = self.pool.groups.iter();
        for group in groups.filter(|group| group.slots > 0) {
            let all = group.slots as usize;
            let turn = Turn {
                of: hosts.div_ceil(all) as u64,
                own: (place / all) as u64,
            };
            let (place, rounds) = if hosts > all {
                (place % all, all)
            } else {
                (place, hosts)
            };
            let mut first = 0;
            for upstream in &group.upstream_indexes {
                let state = &mut self.pool.states[*upstream];
                let slots = state.definition.slots() as usize;
                let part = every_nth(first, slots, place, rounds);
                state.brittleness.divide(hosts as u32, part, turn);
                first += slots;
            }
        }
    }

    /// This host's place among all that may send requests, and how many those are.
    fn place_among_hosts(&self, now: Time) -> (usize, usize) {
        let own = &self.options.host;
        if self.neighbors.exchanges_with_subset() {
            let count = self.neighbors.remembered_count(own, now) + 1;
            let place = rendezvous_weight(PLACE_KEY, own) as usize % count;
            return (place, count);
        }
        let mut before = 0;
        let mut count = 1;
        for host in self.neighbors.remembered_hosts(own, now) {
            before += usize::from(host < own);
            count += 1;
        }
        (before, count)
    }
}

impl Pool {
    /// Slots of a target that this host may use in any case; `None` where none of its upstreams is
    /// brittle.
    pub(crate) fn brittle_slots(&self, target: &Target) -> Option<u32> {
        let mut copies = self.upstreams_of(target);
        let is_brittle = |state: &UpstreamState| state.brittleness.rate().is_some();
        copies.clone().any(is_brittle).then(|| {
            let slots = |state: &UpstreamState| match state.brittleness.rate() {
                Some(_) => state.brittleness.part,
                None => state.definition.slots(),
            };
            copies.by_ref().map(slots).sum()
        })
    }
}

/// How many of the numbers from `first` on leave `rest` when divided by `n`.
fn every_nth(first: usize, count: usize, rest: usize, n: usize) -> u32 {
    let before = (rest + n - first % n) % n;
    let numbers = (before..count).step_by(n);
    numbers.count() as u32
}
