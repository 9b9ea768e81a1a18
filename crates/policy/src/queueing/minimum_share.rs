use super::*;

/// Each rank below the most urgent that has work is served at least once in
/// this time, in each lane of each failure domain; each host of the domain
/// serves it once in as many such times as there are hosts. With a minimum share for
/// each host by itself, those of all hosts would take most slots.
const MINIMUM_SHARE_INTERVAL: Duration = Duration::from_secs(2);

/// The minimum share against starvation, one clock for each rank of a lane.
///
/// What goes wrong without it: while urgent work arrives faster than it can be
/// served, strict priority never serves the rest. One would notice requests of
/// low tiers that all end with `deadline_passed`. With it, a rank with waiting
/// work takes one slot in each interval; all others are delayed by at most
/// eleven such requests in each interval and domain, one for each rank below
/// the first.
#[derive(Debug, Default)]
pub(crate) struct MinimumShare {
    /// Since when each rank waits without being served; `None` while it has no
    /// work.
    waiting_since: [Option<Time>; Rank::COUNT],
}

impl MinimumShare {
    /// Notes that a rank has work.
    pub(crate) fn note_waiting(&mut self, rank: Rank, now: Time) {
        self.waiting_since[rank.index()].get_or_insert(now);
    }

    /// Notes that a rank was served, and whether it has more work.
    pub(crate) fn note_served(&mut self, rank: Rank, has_more: bool, now: Time) {
        self.waiting_since[rank.index()] = has_more.then_some(now);
    }

    /// The rank that has waited longest beyond the interval of a domain with so
    /// many hosts.
    pub(crate) fn due_rank(&self, now: Time, hosts: u32) -> Option<Rank> {
        let interval = MINIMUM_SHARE_INTERVAL * hosts.max(1);
        Rank::all()
            .skip(1)
            .filter_map(|rank| self.waiting_since[rank.index()].map(|since| (since, rank)))
            .filter(|(since, _)| now.since(*since) >= interval)
            .min()
            .map(|(_, rank)| rank)
    }
}
