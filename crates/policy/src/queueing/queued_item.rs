use super::*;

/// A request's entry in a queue. The derived order compares the fields by position: entries are
/// sorted by due time, then by arrival.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueuedItem {
    /// Time at which the first token is due.
    pub(crate) due: Time,
    /// Sequence number of the arrival; breaks ties.
    pub(crate) seq: u64,
    pub(crate) request: RequestId,
    /// Estimated cost in tokens.
    pub(crate) cost: u64,
    pub(crate) team: TeamId,
    pub(crate) weight: u32,
}
