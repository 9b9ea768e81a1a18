use super::*;

/// Whether other hosts can reach upstreams through this one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reachability {
    /// Targets none of whose upstreams it reaches.
    pub cut_off: Vec<String>,
    /// Whether it opens no connections for others.
    pub declines: bool,
}
