use super::*;

/// Length of one measuring window.
const WINDOW: Duration = Duration::from_secs(1);

/// Weight of the newest window in the moving average.
const NEWEST_WEIGHT: f64 = 0.3;

/// How fast a lane gets its work done, in estimated tokens a second, as a
/// moving average over windows of one second.
#[derive(Debug, Default)]
pub(crate) struct ServiceRate {
    average_tokens_per_s: Option<f64>,
    window_start: Time,
    window_tokens: u64,
}

impl ServiceRate {
    pub(crate) fn note_served(&mut self, tokens: u64, now: Time) {
        self.roll(now);
        self.window_tokens += tokens;
    }

    /// Tokens a second; `None` until the first window has ended.
    pub(crate) fn tokens_per_s(&mut self, now: Time) -> Option<f64> {
        self.roll(now);
        self.average_tokens_per_s.filter(|rate| *rate > 0.0)
    }

    fn roll(&mut self, now: Time) {
        let passed = now.since(self.window_start);
        if passed < WINDOW {
            return;
        }
        let newest = self.window_tokens as f64 / passed.as_secs_f64();
        self.average_tokens_per_s = Some(match self.average_tokens_per_s {
            Some(average) => average + NEWEST_WEIGHT * (newest - average),
            None => newest,
        });
        self.window_start = now;
        self.window_tokens = 0;
    }
}
