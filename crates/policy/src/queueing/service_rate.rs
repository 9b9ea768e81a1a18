use super::*;

/// Weight of the newest answer in the moving average.
const NEWEST_WEIGHT: f64 = 0.05;

/// Answers before the average is used.
const MIN_ANSWERS: u32 = 10;

/// How much work a lane gets done on one slot in a second, in estimated tokens.
///
/// What went wrong with the work that was done in the last seconds: on a host
/// that had little to do it is small, and the first burst was refused with
/// `deadline_unreachable` though slots were free. What a slot can do does not
/// depend on how much there was to do.
#[derive(Debug, Default)]
pub(crate) struct ServiceRate {
    answers: u32,
    tokens_per_slot_s: f64,
}

impl ServiceRate {
    /// Notes an answer that took a slot for `span`.
    pub(crate) fn note_answer(&mut self, tokens: u64, span: Duration) {
        let sample = tokens as f64 / span.as_secs_f64().max(1e-3);
        self.answers = self.answers.saturating_add(1);
        let weight = NEWEST_WEIGHT.max(1.0 / f64::from(self.answers));
        self.tokens_per_slot_s += weight * (sample - self.tokens_per_slot_s);
    }

    /// Tokens a second on so many slots; `None` until enough has been seen.
    pub(crate) fn tokens_per_s(&self, slots: u32) -> Option<f64> {
        let rate = self.tokens_per_slot_s * f64::from(slots);
        (self.answers >= MIN_ANSWERS && rate > 0.0).then_some(rate)
    }
}
