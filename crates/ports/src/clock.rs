use super::*;

/// Reading of the clock at its start.
///
/// What goes wrong with zero: another host says that it knew the newest configuration three
/// seconds ago, this host started a moment ago, and no moment lies before the start. So the
/// knowledge counts from the start and looks younger than it is, and the others take it over.
/// One would notice removed keys that work on for seconds wherever hosts start while the store
/// is away. Whatever is announced with an age is younger than this, or as good as forgotten.
const INITIAL_TIME: Duration = Duration::from_secs(2 * 60 * 60);

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

    /// The present moment.
    pub fn now(&self) -> Time {
        let passed = since_boot().saturating_sub(self.start);
        Time::from_us((INITIAL_TIME + passed).as_micros() as u64)
    }
}

fn since_boot() -> Duration {
    // The call fails only for a clock that the kernel doesn't know.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
