use super::*;

/// Requests that a host has for each tier of one target, queued or running.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Demand {
    /// One count for each tier, the most urgent first.
    pub by_tier: [u32; Tier::COUNT],
}

impl Demand {
    /// Counts one request.
    pub fn add(&mut self, tier: Tier) {
        self.by_tier[tier.index()] += 1;
    }
}
