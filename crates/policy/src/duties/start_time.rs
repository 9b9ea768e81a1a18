use super::*;

/// Time from an order to a ready upstream that is assumed while no time is measured or configured.
const DEFAULT_START_TIME: Duration = Duration::from_secs(5);

/// Longest time that is counted. An order that took longer was delayed by something else.
const MAX_START_TIME: Duration = Duration::from_secs(60);

/// Weight of the newest measurement in the moving average.
const NEW_SAMPLE_WEIGHT: f64 = 0.3;

/// Moving average of the time from the order of an upstream until the upstream accepts requests.
#[derive(Debug, Default)]
pub struct StartTime {
    average: Option<Duration>,
}

impl StartTime {
    /// Records the time in which an order was filled.
    pub fn record(&mut self, span: Duration) {
        let span = span.min(MAX_START_TIME);
        let before = self.average.unwrap_or(span);
        self.average =
            Some(before.mul_f64(1.0 - NEW_SAMPLE_WEIGHT) + span.mul_f64(NEW_SAMPLE_WEIGHT));
    }

    /// Expected start time. The configured time is used until a time was measured.
    pub fn estimate(&self, configured: Option<Duration>) -> Duration {
        self.average
            .or(configured)
            .unwrap_or(DEFAULT_START_TIME)
            .min(MAX_START_TIME)
    }
}
