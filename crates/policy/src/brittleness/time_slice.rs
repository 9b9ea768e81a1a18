use super::*;

/// Length of a time slice.
const SLICE_DURATION: Duration = Duration::from_secs(1);

/// Part of a time slice in which requests may start. The time before it allows for clock
/// differences between hosts, and the time after it lets running requests finish.
const START_WINDOW: Range<f64> = 0.15..0.6;

/// The time slice of a host among the hosts that share a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TimeSlice {
    /// Number of hosts that share the slot.
    pub(crate) count: u64,
    /// Position of this host among them.
    pub(crate) index: u64,
}

impl Default for TimeSlice {
    fn default() -> Self {
        Self { count: 1, index: 0 }
    }
}

impl TimeSlice {
    /// Whether this host may start requests at the given time.
    pub(crate) fn contains_start(self, unix_ms: u64) -> bool {
        let slice_ms = SLICE_DURATION.as_millis() as u64;
        let passed = (unix_ms % slice_ms) as f64 / slice_ms as f64;
        self.count <= 1
            || (unix_ms / slice_ms % self.count == self.index && START_WINDOW.contains(&passed))
    }
}
