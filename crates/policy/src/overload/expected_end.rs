use super::*;

/// Weight of the newest limit in the usual one, if it is longer, and if it is shorter: callers
/// that come back have less than is usual.
const LONGER_LIMIT_WEIGHT: f64 = 0.3;
const SHORTER_LIMIT_WEIGHT: f64 = 0.01;

/// Part of the usual limit below which a caller is taken for one that came back.
const SHORT_LIMIT_SHARE: f64 = 0.85;

/// Weight of the newest request in the part of those with a short limit, and the part beyond which
/// a short limit does not show that a caller came back.
const SHORT_SAMPLE_WEIGHT: f64 = 0.05;
const MAX_SHORT_SHARE: f64 = 0.2;

/// Requests that must wait before their wait says anything.
const MIN_WAITING: usize = 6;

/// How many times as long as what was seen a wait is expected to become.
const MAX_WAIT_GROWTH: u32 = 3;

/// How long this host's requests of a class that are at upstreams have waited for their first
/// token, and how long ago others got theirs.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlightDurations {
    pub(crate) answering: Vec<Duration>,
    pub(crate) waiting: Vec<Duration>,
}

/// When requests of a class are expected to end, by those of this host.
#[derive(Debug, Default)]
pub(crate) struct ExpectedEnd {
    answers: RecentDurations,
    first_tokens: RecentDurations,
    /// Part of the requests with a short limit while none of the class was refused.
    short_share: f64,
    usual_time_limit: Option<Duration>,
}

impl ExpectedEnd {
    /// A request came whose caller waits for so long, while all of the class were taken or not.
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

    /// A first token came, or did not come within its caller's limit.
    pub(crate) fn note_first_token(&mut self, now: Time, waited: Duration) {
        self.first_tokens.note(now, waited);
    }

    /// An answer ended, or did not end within its caller's limit.
    pub(crate) fn note_answer(&mut self, now: Time, duration: Duration) {
        self.answers.note(now, duration);
    }

    /// How long callers usually wait.
    pub(crate) const fn usual_time_limit(&self) -> Option<Duration> {
        self.usual_time_limit
    }

    /// Whether a caller with so much time left has spent some of it: it came back. Nothing tells
    /// where callers' limits differ anyway.
    pub(crate) fn is_retry(&self, time_left: Duration) -> bool {
        self.short_share < MAX_SHORT_SHARE && self.is_short(time_left)
    }

    fn is_short(&self, time_left: Duration) -> bool {
        let usual = self.usual_time_limit.unwrap_or(time_left);
        time_left < usual.mul_f64(SHORT_LIMIT_SHARE)
    }

    /// Requests that begin within a span.
    pub(crate) fn expected_first_tokens(&mut self, now: Time, span: Duration) -> f64 {
        self.first_tokens.rate_per_s(now) * span.as_secs_f64()
    }

    /// The wait for a first token: the time in which as many begin as wait, if waits already
    /// grow that long.
    fn expected_wait(&mut self, now: Time, in_flight: &InFlightDurations) -> Duration {
        let Some(observed_wait) = upper_quartile(&in_flight.waiting) else {
            return Duration::ZERO;
        };
        let rate_per_s = self.first_tokens.rate_per_s(now).max(f64::MIN_POSITIVE);
        let backlog_s = in_flight.waiting.len() as f64 / rate_per_s;
        let max_wait_s = (observed_wait * MAX_WAIT_GROWTH).as_secs_f64();
        Duration::from_secs_f64(backlog_s.min(max_wait_s))
    }

    /// Time from now to the first token and from there to the end of a request, before which so
    /// much work waits.
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

/// What a quarter of some times exceed; `None` for too few.
fn upper_quartile(durations: &[Duration]) -> Option<Duration> {
    let mut durations = durations.to_vec();
    let index = durations.len() * 3 / 4;
    (durations.len() >= MIN_WAITING).then(|| *durations.select_nth_unstable(index).1)
}
