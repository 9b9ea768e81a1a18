use super::*;

/// A token bucket: tokens accrue at a fixed rate up to a capacity.
#[derive(Debug, Default)]
pub(crate) struct TokenBucket {
    refilled_at: Time,
    level: f64,
    capacity: f64,
    rate_per_s: f64,
}

impl TokenBucket {
    /// Empties the bucket. Tokens accrue from `now` on.
    pub(crate) fn reset(&mut self, now: Time) {
        self.refilled_at = now;
        self.level = 0.0;
    }

    /// Changes the rate and the capacity. Tokens accrue by the old values up to `now`.
    pub(crate) fn set_rate(&mut self, rate_per_s: f64, capacity: f64, now: Time) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Fills the bucket to its capacity.
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

    /// Whole tokens in the bucket.
    pub(crate) fn available(&self, now: Time) -> u32 {
        self.level(now) as u32
    }

    /// Takes tokens, which must be available.
    pub(crate) fn take(&mut self, count: u32, now: Time) {
        self.refill(now);
        self.level -= f64::from(count);
    }

    /// Time in which `count` tokens accrue.
    pub(crate) fn refill_time(&self, count: u32) -> Duration {
        let refill_s = f64::from(count) / self.rate_per_s.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(refill_s).unwrap_or(Duration::MAX)
    }
}
