use super::*;

/// Rules by which an upstream's slots are given to ranks.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotRules {
    /// Part of the slots that tiers 2 to 5 leave free for tiers 0 and 1.
    pub headroom_share: f64,
    /// Whether tiers 0 and 1 may go beyond their host's share.
    pub share_overrun: ShareOverrun,
    /// Most of the slots that trial requests may hold.
    pub trial_share: f64,
}

impl Default for SlotRules {
    fn default() -> Self {
        Self {
            headroom_share: 0.0,
            share_overrun: ShareOverrun::ReportedFreeSlot,
            trial_share: 1.0,
        }
    }
}
