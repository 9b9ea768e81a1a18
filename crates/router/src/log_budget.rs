use super::*;

/// Lines a second for what goes as it should, and how many may come at once.
/// Two lines a request cover 100 requests a second, four times what a host of
/// today's installations gets at its peak.
const ROUTINE_PER_S: f64 = 200.0;
const ROUTINE_BURST: f64 = 400.0;

/// The same for failures and changes of belief: more, as they explain what went
/// wrong, and are the last to be dropped.
const IMPORTANT_PER_S: f64 = 500.0;
const IMPORTANT_BURST: f64 = 2_000.0;

/// How important a line is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LineKind {
    /// A failure, a refusal, or a change of what the host believes.
    Important,
    /// A request that goes as it should.
    Routine,
}

/// Bounds the lines that a host writes, so that logging costs no more under
/// load than the budget allows. Lines of each kind have a budget of their own:
/// under load the routine ones go first.
#[derive(Debug)]
pub(crate) struct LogBudget {
    important: LineBucket,
    routine: LineBucket,
}

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
    /// Takes one line from the budget of its kind; false if it must be dropped.
    pub(crate) fn take(&mut self, kind: LineKind, now: Time) -> bool {
        match kind {
            LineKind::Important => self.important.take(now),
            LineKind::Routine => self.routine.take(now),
        }
    }

    /// Lines dropped since the last call: important and routine ones.
    pub(crate) fn take_dropped(&mut self) -> (u64, u64) {
        let take = |bucket: &mut LineBucket| std::mem::take(&mut bucket.dropped);
        (take(&mut self.important), take(&mut self.routine))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Symptom: in an outage the log tells nothing of the failures. Events: many
    /// requests a second succeed while some fail. Cause: all lines share one
    /// budget, and the many routine ones use it up.
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
