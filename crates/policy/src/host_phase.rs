use super::*;

/// Where a host is in its life, as others see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostPhase {
    /// Takes no new connections; finishes what it has.
    Draining,
    /// Takes requests.
    Serving,
    /// Has no configuration yet.
    Starting,
}
