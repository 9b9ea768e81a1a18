use super::*;

/// Age up to which a sample counts.
const WINDOW: Duration = Duration::from_secs(4);

/// Maximum number of samples.
const MAX_SAMPLES: usize = 256;

/// Minimum number of durations for a median.
const MIN_SAMPLES: usize = 4;

/// Durations of recent events, such as answers.
#[derive(Debug, Default)]
pub(crate) struct RecentDurations {
    samples: VecDeque<(Time, Duration)>,
}

impl RecentDurations {
    pub(crate) fn note(&mut self, now: Time, duration: Duration) {
        self.samples.push_back((now, duration));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.expire(now);
    }

    /// Returns the median of the recent durations and of those so far of events that are still in
    /// progress, or `None` if there are too few.
    pub(crate) fn median(&mut self, now: Time, in_flight: &[Duration]) -> Option<Duration> {
        self.expire(now);
        let ended = self.samples.iter().map(|(_, duration)| *duration);
        let mut durations: Vec<Duration> = ended.chain(in_flight.iter().copied()).collect();
        if durations.len() < MIN_SAMPLES {
            return None;
        }
        let middle = durations.len() / 2;
        Some(*durations.select_nth_unstable(middle).1)
    }

    /// Events per second in the window.
    pub(crate) fn rate_per_s(&mut self, now: Time) -> f64 {
        self.expire(now);
        self.samples.len() as f64 / WINDOW.as_secs_f64()
    }

    fn expire(&mut self, now: Time) {
        let is_old = |(at, _): &(Time, Duration)| now.since(*at) > WINDOW;
        while self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
    }
}
