use super::*;

/// Phase of a host's lifecycle, as other hosts see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostPhase {
    /// Accepts no new connections and finishes its running requests.
    Draining,
    /// Accepts requests.
    Serving,
    /// Has no configuration yet.
    Starting,
}
