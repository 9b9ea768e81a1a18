use super::*;

/// Requests of one target that a host has queued or running, by tier.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// One count for each tier, most urgent tier first.
    pub by_tier: [u32; Tier::COUNT],
}

impl Demand {
    /// Counts one request of the tier.
    pub fn add(&mut self, tier: Tier) {
        self.by_tier[tier.index()] += 1;
    }
}
