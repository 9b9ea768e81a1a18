use super::*;

/// Rules for the division of an upstream's slots among ranks.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotRules {
    /// Fraction of the slots that tiers 2 to 5 leave free for tiers 0 and 1.
    pub headroom_share: f64,
    /// Whether tiers 0 and 1 may exceed their host's share of the slots.
    pub share_overrun: ShareOverrun,
    /// Maximum fraction of the slots that trial requests may hold.
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
