use super::*;

/// Number of recent requests that are considered.
const MAX_SAMPLES: usize = 32;

/// Fraction of the recent requests that took no longer than the usual duration.
const USUAL_QUANTILE: f64 = 0.9;

/// How long most of the recent requests of a class took at upstreams.
#[derive(Debug, Default)]
pub(crate) struct UsualDuration {
    samples: VecDeque<Duration>,
}

impl UsualDuration {
    pub(crate) fn note(&mut self, duration: Duration) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(duration);
    }

    /// Returns the usual duration, or `None` if no request has ended.
    pub(crate) fn get(&self) -> Option<Duration> {
        let mut durations: Vec<Duration> = self.samples.iter().copied().collect();
        let last = durations.len().checked_sub(1)?;
        let index = (last as f64 * USUAL_QUANTILE).round() as usize;
        Some(*durations.select_nth_unstable(index).1)
    }
}
