use super::*;

/// Part of a class's limit in which the window goes round, and of the time that a caller has left
/// for which it waits to come back.
const TIME_LIMIT_DIVISOR: u32 = 3;

/// When the requests that are not taken come back.
///
/// Each request has a place on a circle, and a window goes round it by the time of day, which is
/// about the same on all hosts. A request is taken while its place is in the window, so one that
/// comes back at its time is taken by any host.
#[derive(Debug, Default)]
pub(crate) struct RetrySchedule {
    /// When callers that were sent back will come.
    scheduled: VecDeque<Time>,
}

impl RetrySchedule {
    /// Time in which the window goes round.
    pub(crate) fn period(limit: Duration) -> Duration {
        limit / TIME_LIMIT_DIVISOR
    }

    /// The longest that a caller with so much time left waits to come back.
    pub(crate) fn max_delay(time_left: Duration) -> Duration {
        time_left / TIME_LIMIT_DIVISOR
    }

    /// Part of the circle from the start of the window to a request's place.
    pub(crate) fn window_distance(ring_position: f64, unix_ms: u64, period: Duration) -> f64 {
        let period_ms = period.as_millis().max(1) as u64;
        let window_start = (unix_ms % period_ms) as f64 / period_ms as f64;
        (ring_position - window_start).rem_euclid(1.0)
    }

    /// Gives a request that is so far ahead of the window the time after which its caller comes
    /// back, if there is room for one more and that is less than `longest`.
    pub(crate) fn schedule_retry(
        &mut self,
        now: Time,
        window_distance: f64,
        period: Duration,
        max_delay: Duration,
        max_scheduled: f64,
    ) -> Option<Duration> {
        self.scheduled.retain(|at| *at > now);
        // The least window holds its middle at any level.
        let delay = period.mul_f64((window_distance - MIN_LEVEL / 2.0).max(0.0));
        let has_capacity = (self.scheduled.len() as f64) < max_scheduled.max(1.0);
        if !has_capacity || delay >= max_delay {
            return None;
        }
        self.scheduled.push_back(now + delay);
        Some(delay)
    }
}
