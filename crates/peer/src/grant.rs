use super::*;

/// A host's share of one group of upstreams. A group consists of the upstreams of a failure domain
/// that serve the same targets.
///
/// The slots of the group, without the headroom of each upstream, are numbered consecutively,
/// upstream by upstream in the order of their ids. A share is a range of these numbers, so two
/// numbers say exactly which slots belong to a host, however many upstreams there are.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// First slot of the range.
    pub first: u32,
    /// Names of the targets, separated by commas.
    pub group: String,
    /// Slots of the whole group that are not in the range of any host.
    pub headroom: u32,
    /// Number of slots in the range.
    pub slots: u32,
}
