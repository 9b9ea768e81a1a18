use super::*;

/// Lateness of a timer from which a thread counts as short of processor time. Hosts with a quota
/// may be paused for up to 100 ms.
const MAX_DELAY: Duration = Duration::from_millis(150);

/// Number of consecutive late timers that count as an overload. A host that was suspended has one.
const MIN_LATE_TICKS: u32 = 3;

/// Detects from the lateness of a thread's timer that the thread has more work than processor time.
///
/// A host that reads every request although it lacks processor time serves all of them late. While
/// it is overloaded it closes new connections unread instead, so that callers can safely try
/// another host.
#[derive(Debug, Default)]
pub(crate) struct LoopDelay {
    late_ticks: u32,
}

impl LoopDelay {
    /// Time between two ticks.
    pub(crate) const INTERVAL: Duration = Duration::from_millis(50);

    /// Notes a tick that came late by this time.
    pub(crate) fn note_tick(&mut self, late: Duration) {
        self.late_ticks = if late > MAX_DELAY {
            self.late_ticks + 1
        } else {
            0
        };
    }

    pub(crate) const fn is_overloaded(&self) -> bool {
        self.late_ticks >= MIN_LATE_TICKS
    }
}

#[cfg(test)]
#[path = "../tests/unit/loop_delay.rs"]
mod tests;
