use super::*;

/// Minimum fraction of the callers' time limit that is allowed for the wait for the first token,
/// however long answers take.
const MIN_WAIT_SHARE: f64 = 0.25;

/// Admission state of one class of requests to one target on this host.
#[derive(Debug)]
pub(crate) struct ClassAdmission {
    /// Time of the last request.
    pub(crate) last_requested: Time,
    pub(crate) expected_end: ExpectedEnd,
    pub(crate) expected_duration: Duration,
    pub(crate) level: AdmissionLevel,
    /// Most urgent priority among the requests.
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

    /// Adjusts the level to the expected wait, which is derived from the work queued at the
    /// upstreams and from this host's requests. Returns whether the level changed.
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
