use super::*;

/// A request's place in a queue.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct QueuedItem {
    /// When its first token is due.
    pub(crate) due: Time,
    /// Order of arrival, to break ties.
    pub(crate) seq: u64,
    pub(crate) request: RequestId,
    /// Estimated cost in tokens.
    pub(crate) cost: u64,
    pub(crate) team: TeamId,
    pub(crate) weight: u32,
}
