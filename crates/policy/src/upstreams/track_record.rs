use super::*;

/// Weight of the newest result in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// Weight of the newest answer in the average answer time.
const ANSWER_TIME_WEIGHT: f64 = 0.2;

/// Time in which what is remembered against an upstream loses half of its
/// weight. An upstream that is avoided gives no answers that could clear it, so
/// it is asked again after a few such times.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// What a share of failures counts, as a part of the upstream's slots: one that
/// fails half of its requests is used when all slots of the others are taken.
const FAILURE_COST: f64 = 2.0;

/// What each multiple of the usual answer time counts, as a part of the slots:
/// one that takes five times as long is used when all slots of the others are
/// taken.
const SLOWNESS_COST: f64 = 0.25;

/// How much slower than usual an upstream is believed to be at the most.
const MAX_SLOWNESS: f64 = 8.0;

/// How the requests that a host sent to one upstream have ended lately.
///
/// What goes wrong with failures in a row alone: an upstream that fails every
/// second request hardly ever fails three in a row, and one that is only slow
/// never fails; both go on getting their full part. One would notice that the
/// errors or the late answers of a class come from one upstream. With this record
/// it gets a tenth of the requests of its sound neighbors or less (the tests of
/// sick upstreams).
#[derive(Debug, Default)]
pub(crate) struct TrackRecord {
    mean_answer_ms: Option<f64>,
    /// Share of requests that failed.
    failure_rate: f64,
    /// When the last result came.
    updated: Time,
}

impl TrackRecord {
    pub(crate) fn note_success(&mut self, now: Time) {
        self.note_result(0.0, now);
    }

    /// Notes how long a whole answer took.
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

    /// What is left of the weight of the last results.
    fn remaining_weight(&self, now: Time) -> f64 {
        let half_lives = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5_f64.powf(half_lives)
    }

    /// What speaks against the upstream, as a part of its slots, compared with
    /// what is usual among those that serve the same.
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

/// What is usual among the upstreams that serve the same: their medians. Where
/// all of them fail or are slow there is nothing to be gained by choosing.
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

/// The median; of two in the middle the lower one, so that of two upstreams the
/// better one is what is usual.
fn lower_median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len().checked_sub(1)? / 2;
    values.get(middle).copied()
}
