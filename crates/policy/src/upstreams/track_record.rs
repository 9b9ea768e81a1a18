use super::*;

/// Weight of the newest result in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// Weight of the newest answer in the moving average of answer times.
const ANSWER_TIME_WEIGHT: f64 = 0.2;

/// Time in which a record loses half of its weight. An upstream that is avoided gives no answers
/// that could improve its record, so it has to be tried again after a few half-lives.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Cost of a failure rate of 1, as a multiple of the upstream's slots. An upstream that fails half
/// of its requests is used only when all slots of the others are taken.
const FAILURE_COST: f64 = 2.0;

/// Cost of each multiple of the baseline answer time beyond the first, as a fraction of the slots.
/// An upstream that takes five times as long is used only when all slots of the others are taken.
const SLOWNESS_COST: f64 = 0.25;

/// Upper bound on the answer time, as a multiple of the baseline.
const MAX_SLOWNESS: f64 = 8.0;

/// Results of this host's recent requests to one upstream.
///
/// Counting consecutive failures is not enough. An upstream that fails every second request hardly
/// ever fails three in a row, and a slow upstream never fails. Both would keep their full share of
/// the requests, and cause most of the errors or late answers of a class. With this record, such an
/// upstream gets at most a tenth of the requests of a healthy one.
#[derive(Debug, Default)]
pub(crate) struct TrackRecord {
    mean_answer_ms: Option<f64>,
    /// Share of the requests that failed, as a moving average.
    failure_rate: f64,
    /// When the last result was recorded.
    updated: Time,
}

impl TrackRecord {
    pub(crate) fn note_success(&mut self, now: Time) {
        self.note_result(0.0, now);
    }

    /// Records how long a complete answer took.
    pub(crate) fn note_answer_time(&mut self, span: Duration) {
        let sample = span.as_secs_f64() * 1_000.0;
        let average = self.mean_answer_ms.get_or_insert(sample);
        *average += ANSWER_TIME_WEIGHT * (sample - *average);
    }

    pub(crate) fn note_failure(&mut self, now: Time) {
        self.note_result(1.0, now);
    }

    fn note_result(&mut self, failed: f64, now: Time) {
        let failure_rate = self.failure_rate * self.remaining_weight(now);
        self.failure_rate = failure_rate + FAILURE_WEIGHT * (failed - failure_rate);
        self.updated = now;
    }

    /// Fraction of the record's weight that remains.
    fn remaining_weight(&self, now: Time) -> f64 {
        let half_lives = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5_f64.powf(half_lives)
    }

    /// Cost of using the upstream, as a fraction of its slots, relative to the upstreams that serve
    /// the same target.
    pub(crate) fn cost(&self, baseline: &BaselineRecord, now: Time) -> f64 {
        let excess_failure_rate = (self.failure_rate - baseline.failure_rate).max(0.0);
        let slowness = match (self.mean_answer_ms, baseline.mean_answer_ms) {
            (Some(own), Some(baseline)) if baseline > 0.0 => {
                (own / baseline).clamp(1.0, MAX_SLOWNESS)
            }
            _ => 1.0,
        };
        (FAILURE_COST * excess_failure_rate + SLOWNESS_COST * (slowness - 1.0))
            * self.remaining_weight(now)
    }
}

/// Medians of the records of the upstreams that serve the same target. Only differences from the
/// medians count: where all upstreams fail or are slow, choosing another one gains nothing.
#[derive(Debug, Default)]
pub(crate) struct BaselineRecord {
    mean_answer_ms: Option<f64>,
    failure_rate: f64,
}

impl BaselineRecord {
    pub(crate) fn of<'a>(records: impl Iterator<Item = &'a TrackRecord> + Clone) -> Self {
        let failure_rate = records.clone().map(|record| record.failure_rate);
        Self {
            mean_answer_ms: lower_median(records.filter_map(|record| record.mean_answer_ms)),
            failure_rate: lower_median(failure_rate).unwrap_or_default(),
        }
    }
}

/// The median; the lower of the two middle values if their number is even. Of two upstreams, the
/// better one is the baseline.
fn lower_median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len().checked_sub(1)? / 2;
    values.get(middle).copied()
}
