/// Rules by which an upstream's slots are given to ranks.
#[derive(Clone, Debug, PartialEq)]
pub struct RoomRules {
    /// Part of the slots that tiers 2 to 5 leave free for tiers 0 and 1.
    pub headroom_share: f64,
    /// Whether tiers 0 and 1 may go beyond the slots into an engine's own
    /// queue, which it serves by priority.
    pub pressing_overdraft: bool,
    /// Most of the slots that trial requests may hold.
    pub trial_share: f64,
}

impl Default for RoomRules {
    fn default() -> Self {
        Self {
            headroom_share: 0.0,
            pressing_overdraft: false,
            trial_share: 1.0,
        }
    }
}
