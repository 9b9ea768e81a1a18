use super::*;

/// Tokens that come at a rate, up to a number.
#[derive(Debug, Default)]
pub(crate) struct TokenBucket {
    filled: Time,
    level: f64,
    max: f64,
    per_s: f64,
}

impl TokenBucket {
    /// Empties it; tokens come from now on.
    pub(crate) fn restart(&mut self, now: Time) {
        self.filled = now;
        self.level = 0.0;
    }

    /// Changes rate and size; what came so far came by the old ones.
    pub(crate) fn follow(&mut self, per_s: f64, max: f64, now: Time) {
        self.fill(now);
        self.per_s = per_s;
        self.max = max;
        self.level = self.level.min(max);
    }

    /// Has all tokens that it can hold.
    pub(crate) fn fill_up(&mut self) {
        self.level = self.max;
    }

    fn fill(&mut self, now: Time) {
        self.level = self.level(now);
        self.filled = now;
    }

    fn level(&self, now: Time) -> f64 {
        let come = self.per_s * now.since(self.filled).as_secs_f64();
        (self.level + come).min(self.max)
    }

    /// Whole tokens that are there.
    pub(crate) fn tokens(&self, now: Time) -> u32 {
        self.level(now) as u32
    }

    /// Takes tokens that are there.
    pub(crate) fn take(&mut self, count: u32, now: Time) {
        self.fill(now);
        self.level -= f64::from(count);
    }

    /// Time in which so many tokens come.
    pub(crate) fn time_of(&self, count: u32) -> Duration {
        let span_s = f64::from(count) / self.per_s.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(span_s).unwrap_or(Duration::MAX)
    }
}
