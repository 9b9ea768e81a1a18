use super::*;

/// Upstreams of the own failure domain that serve the same targets.
#[derive(Debug, Default)]
pub(crate) struct Group {
    /// Requests that this host has there.
    pub(crate) in_flight: u32,
    /// Trial requests among them.
    pub(crate) in_flight_trial: u32,
    /// Names of the targets, joined by commas.
    pub(crate) name: String,
    /// Places of its upstreams, in the order of their ids.
    pub(crate) upstream_indexes: Vec<usize>,
    /// This host's share.
    pub(crate) share: Share,
    /// Slots of all its upstreams.
    pub(crate) slots: u32,
}

impl Group {
    pub(crate) fn name_of(targets: &[Target]) -> String {
        let names: Vec<String> = targets.iter().map(Target::to_string).collect();
        names.join(",")
    }

    /// Whether the share allows one more request of `rank`.
    pub(crate) fn has_room(&self, rank: Rank, room: &RoomRules) -> bool {
        if rank.is_pressing() {
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
