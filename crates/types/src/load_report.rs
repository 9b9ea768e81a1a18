use super::*;

/// The load that an engine reports of itself. The report can be out of date.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Age of the report when it was sent.
    pub age_ms: u64,
    /// Whether the engine is shutting down and wants no new requests.
    #[serde(default)]
    pub leaving: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests in the engine's own queue.
    pub waiting: u32,
}
