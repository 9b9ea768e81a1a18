use super::*;

/// Transfers of prompt parts that this host knows to be in progress over an engine's network link.
/// They run one after another.
///
/// A transfer is forgotten at its expected end. A transfer that never started, or whose engine has
/// ended, therefore occupies the link no longer than one that completed.
#[derive(Debug, Default)]
pub(crate) struct TransferLink {
    expected_ends: VecDeque<Time>,
}

impl TransferLink {
    /// Records a transfer and its expected end.
    pub(crate) fn record(&mut self, expected_end: Time, now: Time) {
        self.expected_ends.retain(|other| *other > now);
        self.expected_ends.push_back(expected_end);
    }

    /// When the last transfer is expected to end; `now` if there is none.
    pub(crate) fn free_at(&self, now: Time) -> Time {
        self.expected_ends.back().map_or(now, |last| now.max(*last))
    }

    /// Number of transfers in progress.
    pub(crate) fn active_count(&self, now: Time) -> usize {
        self.expected_ends.iter().filter(|end| **end > now).count()
    }
}
