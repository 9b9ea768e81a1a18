use super::*;

/// Upstreams that serve the same targets. They are in this host's failure domain, or in any domain
/// if the pool ignores domains.
#[derive(Debug, Default)]
pub(crate) struct Group {
    /// Requests of this host in flight.
    pub(crate) in_flight: u32,
    /// Trial requests among `in_flight`.
    pub(crate) in_flight_trial: u32,
    /// Names of the targets, joined by commas.
    pub(crate) name: String,
    /// Indexes of the upstreams in [`Pool::states`], in the order of their ids.
    pub(crate) upstream_indexes: Vec<usize>,
    /// This host's share of the slots.
    pub(crate) share: Share,
    /// Slots of all upstreams in the group.
    pub(crate) slots: u32,
}

impl Group {
    pub(crate) fn name_of(targets: &[Target]) -> String {
        let names: Vec<String> = targets.iter().map(Target::to_string).collect();
        names.join(",")
    }

    /// Whether the share allows one more request of `rank`.
    pub(crate) fn has_room(&self, rank: Rank, room: &SlotRules) -> bool {
        if rank.is_urgent() {
            return self.in_flight < self.share.slots;
        }
        let headroom = (f64::from(self.share.slots) * room.headroom_share).floor() as u32;
        let trial_share = (f64::from(self.share.slots) * room.trial_share)
            .floor()
            .max(1.0);
        let trial_fits = rank.plan == Plan::Paid || self.in_flight_trial < trial_share as u32;
        self.in_flight < self.share.slots - headroom && trial_fits
    }
}
