use super::*;

/// The host's clock: monotonic, and it counts the time in which the machine is
/// suspended.
///
/// What goes wrong with a clock that stands still meanwhile: a host wakes after
/// ten seconds, takes its knowledge for a moment old, and accepts a key that
/// was removed long ago. One would notice requests that run with removed keys
/// after a freeze. On this clock the knowledge is ten seconds older.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Time {
        let passed = since_boot().saturating_sub(self.start);
        Time::from_us(passed.as_micros() as u64)
    }
}

fn since_boot() -> Duration {
    // The call fails only for a clock that the kernel doesn't know.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
