use super::*;

/// Interval in which each rank below the most urgent is served at least once, if it has queued
/// requests. It holds for each target in a failure domain, so each host of the domain serves the
/// rank once in this interval times the number of hosts. If each host served the rank once in this
/// interval, the minimum shares of all hosts would take most of the slots.
const MINIMUM_SHARE_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum service for ranks that would starve otherwise; it keeps one timer for each rank of a
/// target.
///
/// Without a minimum share, strict priority never serves less urgent ranks while urgent requests
/// arrive faster than they can be served, and requests of the low tiers all end with
/// `deadline_passed`. With it, a rank with queued requests gets one slot in each interval. The
/// other requests are delayed by at most eleven such requests in each interval and failure domain,
/// one for each rank below the most urgent.
#[derive(Debug, Default)]
pub(crate) struct MinimumShare {
    /// Time since which each rank waits for service; `None` for a rank without queued requests.
    waiting_since: [Option<Time>; Rank::COUNT],
}

impl MinimumShare {
    /// Notes that a rank has queued requests.
    pub(crate) fn note_waiting(&mut self, rank: Rank, now: Time) {
        self.waiting_since[rank.index()].get_or_insert(now);
    }

    /// Notes that a rank was served, and whether it has more queued requests.
    pub(crate) fn note_served(&mut self, rank: Rank, has_more: bool, now: Time) {
        self.waiting_since[rank.index()] = has_more.then_some(now);
    }

    /// Returns the rank that has waited longest, if it has waited for at least the interval of a
    /// failure domain with this many hosts.
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
