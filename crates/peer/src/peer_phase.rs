use super::*;

/// Where a host is in its life, as it tells others.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerPhase {
    /// Finishes what it has.
    Draining,
    /// Takes requests.
    Serving,
    /// Has no configuration yet.
    Starting,
}
