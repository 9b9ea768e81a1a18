use super::*;

/// The host's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Time {
        Time::from_us(self.start.elapsed().as_micros() as u64)
    }
}
