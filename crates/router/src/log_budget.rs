use super::*;

/// Rate and burst of lines about requests that go as expected. With two lines per request, the rate
/// covers 100 requests per second, four times the peak load of a host in today's installations.
const ROUTINE_PER_S: f64 = 200.0;
const ROUTINE_BURST: f64 = 400.0;

/// Rate and burst of lines about failures and changes of the host's state. They are higher than the
/// routine ones because these lines explain what went wrong and must be the last to be dropped.
const IMPORTANT_PER_S: f64 = 500.0;
const IMPORTANT_BURST: f64 = 2_000.0;

/// How important a line is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LineKind {
    /// A failure, a refusal, or a change of the host's state.
    Important,
    /// A request that goes as expected.
    Routine,
}

/// Limits the rate of log lines of a host, so that the cost of logging stays bounded under load.
/// Each kind of line has its own token bucket: under load, routine lines are dropped first.
#[derive(Debug)]
pub(crate) struct LogBudget {
    important: LineBucket,
    routine: LineBucket,
}

/// A token bucket in which each token allows one log line.
#[derive(Debug)]
struct LineBucket {
    burst: f64,
    dropped: u64,
    available: f64,
    refill_per_s: f64,
    refilled_at: Time,
}

impl LineBucket {
    const fn new(refill_per_s: f64, burst: f64) -> Self {
        Self {
            burst,
            dropped: 0,
            available: burst,
            refill_per_s,
            refilled_at: Time::from_us(0),
        }
    }

    fn take(&mut self, now: Time) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.refill_per_s;
        self.available = (self.available + refill).min(self.burst);
        self.refilled_at = now;
        if self.available < 1.0 {
            self.dropped += 1;
            return false;
        }
        self.available -= 1.0;
        true
    }
}

impl Default for LogBudget {
    fn default() -> Self {
        Self {
            important: LineBucket::new(IMPORTANT_PER_S, IMPORTANT_BURST),
            routine: LineBucket::new(ROUTINE_PER_S, ROUTINE_BURST),
        }
    }
}

impl LogBudget {
    /// Takes one line from the budget of its kind; returns false if the line must be dropped.
    pub(crate) fn take(&mut self, kind: LineKind, now: Time) -> bool {
        match kind {
            LineKind::Important => self.important.take(now),
            LineKind::Routine => self.routine.take(now),
        }
    }

    /// Numbers of important and of routine lines that were dropped since the last call.
    pub(crate) fn take_dropped(&mut self) -> (u64, u64) {
        let take = |bucket: &mut LineBucket| std::mem::take(&mut bucket.dropped);
        (take(&mut self.important), take(&mut self.routine))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a log that shows no failures during an outage. If all lines shared one
    /// budget, the routine lines of the many requests that succeed would use it up, and the lines
    /// about the few that fail would be dropped.
    #[test]
    fn routine_lines_do_not_use_the_budget_of_important_lines() {
        let mut budget = LogBudget::default();
        let now = Time::from_ms(1_000);
        let routine = (0..10_000).filter(|_| budget.take(LineKind::Routine, now));
        assert_eq!(routine.count(), ROUTINE_BURST as usize);
        let important = (0..1_000).filter(|_| budget.take(LineKind::Important, now));
        assert_eq!(important.count(), 1_000);
        assert_eq!(budget.take_dropped(), (0, 9_600));
        assert_eq!(budget.take_dropped(), (0, 0));
    }

    #[test]
    fn the_budget_refills_over_time() {
        let mut budget = LogBudget::default();
        while budget.take(LineKind::Routine, Time::from_ms(1_000)) {}
        let later = Time::from_ms(1_500);
        let written = (0..1_000).filter(|_| budget.take(LineKind::Routine, later));
        assert_eq!(written.count(), 100);
    }
}
