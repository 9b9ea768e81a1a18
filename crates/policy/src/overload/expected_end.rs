use super::*;

/// Weights of the newest time limit in the usual one, if it is longer and if it is shorter. A
/// shorter limit has little weight because callers that retry have less time left than usual.
const LONGER_LIMIT_WEIGHT: f64 = 0.3;
const SHORTER_LIMIT_WEIGHT: f64 = 0.01;

/// Fraction of the usual time limit below which a request counts as a retry.
const SHORT_LIMIT_SHARE: f64 = 0.85;

/// Weight of the newest request in the share of requests with a short time limit, and the share
/// above which a short limit doesn't identify a retry.
const SHORT_SAMPLE_WEIGHT: f64 = 0.05;
const MAX_SHORT_SHARE: f64 = 0.2;

/// Minimum number of waiting requests for an estimate of the wait.
const MIN_WAITING: usize = 6;

/// Maximum expected wait, as a multiple of the wait of current requests.
const MAX_WAIT_GROWTH: u32 = 3;

/// Durations of this host's requests of a class at upstreams: how long requests without a first
/// token have waited, and how long ago the others got their first token.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightDurations {
    pub(crate) answering: Vec<Duration>,
    pub(crate) waiting: Vec<Duration>,
}

/// Estimates when requests of a class end, from the recent requests of this host.
#[derive(Debug, Default)]
pub(crate) struct ExpectedEnd {
    answers: RecentDurations,
    first_tokens: RecentDurations,
    /// Share of requests with a short time limit, counted while all requests of the class are
    /// admitted.
    short_share: f64,
    usual_time_limit: Option<Duration>,
}

impl ExpectedEnd {
    /// Notes the time limit of a new request. `is_fully_admitted` tells whether all requests of the
    /// class are admitted.
    pub(crate) fn note_time_limit(&mut self, limit: Duration, is_fully_admitted: bool) {
        if is_fully_admitted {
            let is_short = f64::from(u8::from(self.is_short(limit)));
            self.short_share += SHORT_SAMPLE_WEIGHT * (is_short - self.short_share);
        }
        let usual = self.usual_time_limit.unwrap_or(limit).as_secs_f64();
        let difference = limit.as_secs_f64() - usual;
        let weight = if difference > 0.0 {
            LONGER_LIMIT_WEIGHT
        } else {
            SHORTER_LIMIT_WEIGHT
        };
        self.usual_time_limit = Some(Duration::from_secs_f64(usual + weight * difference));
    }

    /// Notes that the first token came after `waited`, or didn't come within the time limit.
    pub(crate) fn note_first_token(&mut self, now: Time, waited: Duration) {
        self.first_tokens.note(now, waited);
    }

    /// Notes that an answer ended after `duration`, or didn't end within the time limit.
    pub(crate) fn note_answer(&mut self, now: Time, duration: Duration) {
        self.answers.note(now, duration);
    }

    /// Returns the usual time limit of callers.
    pub(crate) const fn usual_time_limit(&self) -> Option<Duration> {
        self.usual_time_limit
    }

    /// Whether a request with this much time left is a retry, which has spent part of its time
    /// limit already. Always false where the time limits of callers differ, because a short limit
    /// doesn't identify a retry there.
    pub(crate) fn is_retry(&self, time_left: Duration) -> bool {
        self.short_share < MAX_SHORT_SHARE && self.is_short(time_left)
    }

    fn is_short(&self, time_left: Duration) -> bool {
        let usual = self.usual_time_limit.unwrap_or(time_left);
        time_left < usual.mul_f64(SHORT_LIMIT_SHARE)
    }

    /// Expected number of requests that get their first token within `span`.
    pub(crate) fn expected_first_tokens(&mut self, now: Time, span: Duration) -> f64 {
        self.first_tokens.rate_per_s(now) * span.as_secs_f64()
    }

    /// Expected wait for the first token: the time in which as many requests get their first token
    /// as are waiting now, but at most `MAX_WAIT_GROWTH` times the upper quartile of the current
    /// waits.
    fn expected_wait(&mut self, now: Time, in_flight: &InFlightDurations) -> Duration {
        let Some(observed_wait) = upper_quartile(&in_flight.waiting) else {
            return Duration::ZERO;
        };
        let rate_per_s = self.first_tokens.rate_per_s(now).max(f64::MIN_POSITIVE);
        let backlog_s = in_flight.waiting.len() as f64 / rate_per_s;
        let max_wait_s = (observed_wait * MAX_WAIT_GROWTH).as_secs_f64();
        Duration::from_secs_f64(backlog_s.min(max_wait_s))
    }

    /// Estimates the time until the first token of a new request, and from the first token to the
    /// end. `queue_wait` is the time that the upstreams need for the work ahead of the request.
    pub(crate) fn estimate(
        &mut self,
        now: Time,
        queue_wait: Duration,
        in_flight: &InFlightDurations,
    ) -> (Duration, Duration) {
        let answer = self.answers.median(now, &in_flight.answering);
        (
            self.expected_wait(now, in_flight).max(queue_wait),
            answer.unwrap_or_default(),
        )
    }
}

/// Returns the upper quartile, or `None` if there are too few durations.
fn upper_quartile(durations: &[Duration]) -> Option<Duration> {
    let mut durations = durations.to_vec();
    let index = durations.len() * 3 / 4;
    (durations.len() >= MIN_WAITING).then(|| *durations.select_nth_unstable(index).1)
}
