use super::*;

/// An engine's own report of its load. It lags behind the engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// How old the report was when it was sent.
    pub age_ms: u64,
    /// Whether the engine is leaving and wants no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Requests running.
    pub running: u32,
    /// Requests waiting in the engine's own queue.
    pub waiting: u32,
}
