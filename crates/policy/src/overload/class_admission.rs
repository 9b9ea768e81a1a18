use super::*;

/// Part of the callers' limit that may be waited for a first token however long answers are.
const MIN_WAIT_SHARE: f64 = 0.25;

/// What a host keeps of a class before a target to decide how much of it is taken.
#[derive(Debug)]
pub(crate) struct ClassAdmission {
    /// When it was asked for last.
    pub(crate) last_requested: Time,
    pub(crate) expected_end: ExpectedEnd,
    pub(crate) expected_duration: Duration,
    pub(crate) level: AdmissionLevel,
    /// The most urgent priority that it came with.
    pub(crate) priority: u8,
    pub(crate) retry_schedule: RetrySchedule,
}

impl ClassAdmission {
    pub(crate) fn new(priority: u8) -> Self {
        Self {
            last_requested: Time::default(),
            expected_end: ExpectedEnd::default(),
            expected_duration: Duration::ZERO,
            level: AdmissionLevel::default(),
            priority,
            retry_schedule: RetrySchedule::default(),
        }
    }

    /// Moves the level by what waits ahead and by this host's requests; tells whether it changed.
    pub(crate) fn update(
        &mut self,
        now: Time,
        queue_wait: Duration,
        in_flight: &InFlightDurations,
        load: &PoolLoad,
        may_decrease: bool,
    ) -> bool {
        let Some(limit) = self.expected_end.usual_time_limit() else {
            return false;
        };
        let before = self.level.get();
        let (wait, answer) = self.expected_end.estimate(now, queue_wait, in_flight);
        self.expected_duration = wait + answer;
        if load.has_room(limit) {
            self.level.recover();
        } else {
            let min_wait = limit.mul_f64(MIN_WAIT_SHARE);
            let max_wait = limit.saturating_sub(answer).max(min_wait);
            let wait_ratio = wait.as_secs_f64() / max_wait.as_secs_f64().max(f64::MIN_POSITIVE);
            self.level.adjust(wait_ratio, may_decrease);
        }
        self.level.get() != before
    }
}
