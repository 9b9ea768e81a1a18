use super::*;

/// Divisor of a class's time limit for the period of the admission window, and of a caller's
/// remaining time for the longest delay before its retry.
const TIME_LIMIT_DIVISOR: u32 = 3;

/// Assigns the times at which refused requests are retried.
///
/// Each request has a position on a ring, and the admission window moves around the ring with the
/// time of day, which is about the same on all hosts. A request is admitted while its position is
/// in the window, so any host admits a retry that comes at the assigned time.
#[derive(Debug, Default)]
pub(crate) struct RetrySchedule {
    /// Times of the retries that are still to come.
    scheduled: VecDeque<Time>,
}

impl RetrySchedule {
    /// Time in which the window moves once around the ring.
    pub(crate) fn period(limit: Duration) -> Duration {
        limit / TIME_LIMIT_DIVISOR
    }

    /// Longest delay before the retry of a caller with this much time left.
    pub(crate) fn max_delay(time_left: Duration) -> Duration {
        time_left / TIME_LIMIT_DIVISOR
    }

    /// Fraction of the ring from the start of the window to a request's position.
    pub(crate) fn window_distance(ring_position: f64, unix_ms: u64, period: Duration) -> f64 {
        let period_ms = period.as_millis().max(1) as u64;
        let window_start = (unix_ms % period_ms) as f64 / period_ms as f64;
        (ring_position - window_start).rem_euclid(1.0)
    }

    /// Returns the delay after which a request at `window_distance` is retried. Returns `None` if
    /// `max_scheduled` retries are already to come, or if the delay isn't shorter than `max_delay`.
    pub(crate) fn schedule_retry(
        &mut self,
        now: Time,
        window_distance: f64,
        period: Duration,
        max_delay: Duration,
        max_scheduled: f64,
    ) -> Option<Duration> {
        self.scheduled.retain(|at| *at > now);
        // The position is then in the middle of the smallest window, so that the retry is admitted
        // at any level.
        let delay = period.mul_f64((window_distance - MIN_LEVEL / 2.0).max(0.0));
        let has_capacity = (self.scheduled.len() as f64) < max_scheduled.max(1.0);
        if !has_capacity || delay >= max_delay {
            return None;
        }
        self.scheduled.push_back(now + delay);
        Some(delay)
    }
}
