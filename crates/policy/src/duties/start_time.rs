use super::*;

/// Time between an order and an upstream that takes work, before any was seen or named.
const DEFAULT_START_TIME: Duration = Duration::from_secs(5);

/// Longest time that is believed: an order that took longer waited for something else.
const MAX_START_TIME: Duration = Duration::from_secs(60);

/// Weight of what was seen last.
const NEW_SAMPLE_WEIGHT: f64 = 0.3;

/// Time that an upstream takes from its order until it takes work.
#[derive(Debug, Default)]
pub struct StartTime {
    average: Option<Duration>,
}

impl StartTime {
    /// Takes the time in which an order was filled.
    pub fn record(&mut self, span: Duration) {
        let span = span.min(MAX_START_TIME);
        let before = self.average.unwrap_or(span);
        self.average =
            Some(before.mul_f64(1.0 - NEW_SAMPLE_WEIGHT) + span.mul_f64(NEW_SAMPLE_WEIGHT));
    }

    /// The time, where the operator may have named one.
    pub fn estimate(&self, configured: Option<Duration>) -> Duration {
        self.average
            .or(configured)
            .unwrap_or(DEFAULT_START_TIME)
            .min(MAX_START_TIME)
    }
}
