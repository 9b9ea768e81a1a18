use super::*;

/// Time on the clock when the clock starts.
///
/// Times before zero cannot be represented. Without this offset, a host that has just started could
/// not represent the time at which another host knew the newest configuration if that was, for
/// example, three seconds ago. The knowledge would count from the start of this host, look younger
/// than it is, and spread to the other hosts with the wrong age. Removed keys would then keep
/// working for seconds when hosts start while the store is unavailable. Any announced age is either
/// smaller than this offset, or so large that the knowledge is useless.
const INITIAL_TIME: Duration = Duration::from_secs(2 * 60 * 60);

/// The host's clock. It is monotonic and includes the time during which the machine is suspended.
///
/// With a clock that stops during suspension, a host that resumes after ten seconds would consider
/// its knowledge current and accept a key that was removed in the meantime. On this clock, the
/// knowledge is ten seconds older.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Duration,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self {
            start: since_boot(),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        let passed = since_boot().saturating_sub(self.start);
        Time::from_us((INITIAL_TIME + passed).as_micros() as u64)
    }
}

fn since_boot() -> Duration {
    // The call fails only for a clock that the kernel does not support.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
