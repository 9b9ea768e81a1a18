use super::*;

/// Lifecycle phase of a host, as announced to other hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PeerPhase {
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Accepts requests.
    Serving,
    /// Has no configuration yet.
    Starting,
}
