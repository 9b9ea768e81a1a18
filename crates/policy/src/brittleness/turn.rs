use super::*;

/// Length of a turn.
const TURN: Duration = Duration::from_secs(1);

/// Part of a turn in which requests begin: after it those that run have time to end, and before it
/// hosts' clocks may differ.
const BEGIN: Range<f64> = 0.15..0.6;

/// A host's turn among those that share a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Turn {
    /// Hosts that share it.
    pub(crate) of: u64,
    /// Which of them it is.
    pub(crate) own: u64,
}

impl Default for Turn {
    fn default() -> Self {
        Self { of: 1, own: 0 }
    }
}

impl Turn {
    /// Whether requests may begin now.
    pub(crate) fn is_now(self, unix_ms: u64) -> bool {
        let turn_ms = TURN.as_millis() as u64;
        let passed = (unix_ms % turn_ms) as f64 / turn_ms as f64;
        self.of <= 1 || (unix_ms / turn_ms % self.of == self.own && BEGIN.contains(&passed))
    }
}
