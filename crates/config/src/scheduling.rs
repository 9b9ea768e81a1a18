use super::*;

/// How slots are assigned to requests, in addition to the rules of tiers and teams.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scheduling {
    /// Largest share of the slots of a failure domain that is reserved for tiers 0 and 1 if several
    /// hosts share the slots, 0 to 0.5. A larger reserve shortens the tail latency of urgent
    /// requests but reduces goodput; see docs/design/shares.md.
    pub max_headroom_share: f64,
}

impl Default for Scheduling {
    fn default() -> Self {
        Self {
            max_headroom_share: 0.1,
        }
    }
}
