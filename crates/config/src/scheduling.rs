use super::*;

/// How slots are given to requests, beyond tiers and teams.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scheduling {
    /// Most of a domain's slots that are kept free for tiers 0 and 1 where
    /// several hosts share them, 0 to 0.5. More makes the urgent tail shorter
    /// and costs goodput; docs/design/shares.md has the figures.
    pub max_headroom_share: f64,
}

impl Default for Scheduling {
    fn default() -> Self {
        Self {
            max_headroom_share: 0.1,
        }
    }
}
