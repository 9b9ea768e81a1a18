use super::*;

/// Weight of the newest answer in the moving average.
const NEWEST_WEIGHT: f64 = 0.05;

/// Number of answers before the average is used.
const MIN_ANSWERS: u32 = 10;

/// Throughput of one slot of a target, in estimated tokens per second.
///
/// The rate is measured for each slot while it is in use, because the throughput of the last
/// seconds is low on a host that had few requests: the first burst would be refused with
/// `deadline_unreachable` although slots are free. The rate of a busy slot doesn't depend on the
/// load.
#[derive(Debug, Default)]
pub(crate) struct ServiceRate {
    answers: u32,
    tokens_per_slot_s: f64,
}

impl ServiceRate {
    /// Notes an answer that occupied a slot for `span`.
    pub(crate) fn note_answer(&mut self, tokens: u64, span: Duration) {
        let sample = tokens as f64 / span.as_secs_f64().max(1e-3);
        self.answers = self.answers.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.answers));
        self.tokens_per_slot_s += weight * (sample - self.tokens_per_slot_s);
    }

    /// Returns the tokens per second of this many slots, or `None` until enough answers are known.
    pub(crate) fn tokens_per_s(&self, slots: u32) -> Option<f64> {
        let rate = self.tokens_per_slot_s * f64::from(slots);
        (self.answers >= MIN_ANSWERS && rate > 0.0).then_some(rate)
    }
}
