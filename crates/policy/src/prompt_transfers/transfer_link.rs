use super::*;

/// Transfers that this host knows to be under way over an engine's link, one after another.
///
/// They are forgotten at their expected end, so a transfer that never began, or whose engine
/// ended, holds the link for no longer than one that did.
#[derive(Debug, Default)]
pub(crate) struct TransferLink {
    expected_ends: VecDeque<Time>,
}

impl TransferLink {
    /// Notes a transfer that is expected to end at a moment.
    pub(crate) fn record(&mut self, expected_end: Time, now: Time) {
        self.expected_ends.retain(|other| *other > now);
        self.expected_ends.push_back(expected_end);
    }

    /// When the last transfer ends.
    pub(crate) fn free_at(&self, now: Time) -> Time {
        self.expected_ends.back().map_or(now, |last| now.max(*last))
    }

    /// Transfers under way.
    pub(crate) fn active_count(&self, now: Time) -> usize {
        self.expected_ends.iter().filter(|end| **end > now).count()
    }
}
