use super::*;

/// Whether other hosts can reach upstreams through the sender.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reachability {
    /// Targets of which the sender reaches no upstream.
    pub cut_off: Vec<String>,
    /// Whether the sender refuses to open connections for other hosts.
    pub declines: bool,
}
