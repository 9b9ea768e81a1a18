use super::*;

/// Length of a turn.
const SLICE_DURATION: Duration = Duration::from_secs(1);

/// Part of a turn in which requests begin: after it those that run have time to end, and before it
/// hosts' clocks may differ.
const START_WINDOW: Range<f64> = 0.15..0.6;

/// A host's turn among those that share a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TimeSlice {
    /// Hosts that share it.
    pub(crate) count: u64,
    /// Which of them it is.
    pub(crate) index: u64,
}

impl Default for TimeSlice {
    fn default() -> Self {
        Self { count: 1, index: 0 }
    }
}

impl TimeSlice {
    /// Whether requests may begin now.
    pub(crate) fn contains_start(self, unix_ms: u64) -> bool {
        let slice_ms = SLICE_DURATION.as_millis() as u64;
        let passed = (unix_ms % slice_ms) as f64 / slice_ms as f64;
        self.count <= 1
            || (unix_ms / slice_ms % self.count == self.index && START_WINDOW.contains(&passed))
    }
}
