use super::*;

/// Tokens that come at a rate, up to a number.
#[derive(Debug, Default)]
pub(crate) struct TokenBucket {
    refilled_at: Time,
    level: f64,
    capacity: f64,
    rate_per_s: f64,
}

impl TokenBucket {
    /// Empties it; tokens come from now on.
    pub(crate) fn reset(&mut self, now: Time) {
        self.refilled_at = now;
        self.level = 0.0;
    }

    /// Changes rate and size; what came so far came by the old ones.
    pub(crate) fn set_rate(&mut self, rate_per_s: f64, capacity: f64, now: Time) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Has all tokens that it can hold.
    pub(crate) fn fill(&mut self) {
        self.level = self.capacity;
    }

    fn refill(&mut self, now: Time) {
        self.level = self.level(now);
        self.refilled_at = now;
    }

    fn level(&self, now: Time) -> f64 {
        let added = self.rate_per_s * now.since(self.refilled_at).as_secs_f64();
        (self.level + added).min(self.capacity)
    }

    /// Whole tokens that are there.
    pub(crate) fn available(&self, now: Time) -> u32 {
        self.level(now) as u32
    }

    /// Takes tokens that are there.
    pub(crate) fn take(&mut self, count: u32, now: Time) {
        self.refill(now);
        self.level -= f64::from(count);
    }

    /// Time in which so many tokens come.
    pub(crate) fn refill_time(&self, count: u32) -> Duration {
        let refill_s = f64::from(count) / self.rate_per_s.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(refill_s).unwrap_or(Duration::MAX)
    }
}
