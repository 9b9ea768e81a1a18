use super::*;

/// The time of the latest activity of one kind, shared between threads.
#[derive(Clone, Debug)]
pub(crate) struct LastActivity {
    clock: Clock,
    last_at_us: Arc<AtomicU64>,
}

impl LastActivity {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            last_at_us: Arc::default(),
        }
    }

    /// Records activity at the current time.
    pub(crate) fn note(&self) {
        let now = self.clock.now().as_us();
        self.last_at_us.store(now, Ordering::Relaxed);
    }

    /// Time since the latest activity.
    pub(crate) fn idle_time(&self) -> Duration {
        let last = Time::from_us(self.last_at_us.load(Ordering::Relaxed));
        self.clock.now().since(last)
    }
}
