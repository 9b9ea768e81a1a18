use super::*;

/// Weight of the newest result in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// Weight of the newest answer in the average answer time.
const TIME_WEIGHT: f64 = 0.2;

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
    answer_ms: Option<f64>,
    /// Share of requests that failed.
    failures: f64,
    /// When the last result came.
    updated: Time,
}

impl TrackRecord {
    pub(crate) fn note_success(&mut self, now: Time) {
        self.note_result(0.0, now);
    }

    /// Notes how long a whole answer took.
    pub(crate) fn note_time(&mut self, span: Duration) {
        let sample = span.as_secs_f64() * 1_000.0;
        let average = self.answer_ms.get_or_insert(sample);
        *average += TIME_WEIGHT * (sample - *average);
    }

    pub(crate) fn note_failure(&mut self, now: Time) {
        self.note_result(1.0, now);
    }

    fn note_result(&mut self, failed: f64, now: Time) {
        let failures = self.failures * self.weight(now);
        self.failures = failures + FAILURE_WEIGHT * (failed - failures);
        self.updated = now;
    }

    /// What is left of the weight of the last results.
    fn weight(&self, now: Time) -> f64 {
        let half_lives = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        0.5_f64.powf(half_lives)
    }

    /// What speaks against the upstream, as a part of its slots, compared with
    /// what is usual among those that serve the same.
    pub(crate) fn cost(&self, usual: &Usual, now: Time) -> f64 {
        let failures = (self.failures - usual.failures).max(0.0);
        let slowness = match (self.answer_ms, usual.answer_ms) {
            (Some(own), Some(usual)) if usual > 0.0 => (own / usual).clamp(1.0, MAX_SLOWNESS),
            _ => 1.0,
        };
        (FAILURE_COST * failures + SLOWNESS_COST * (slowness - 1.0)) * self.weight(now)
    }
}

/// What is usual among the upstreams that serve the same: their medians. Where
/// all of them fail or are slow there is nothing to be gained by choosing.
#[derive(Debug, Default)]
pub(crate) struct Usual {
    answer_ms: Option<f64>,
    failures: f64,
}

impl Usual {
    pub(crate) fn of<'a>(records: impl Iterator<Item = &'a TrackRecord> + Clone) -> Self {
        let failures = records.clone().map(|record| record.failures);
        Self {
            answer_ms: low_median(records.filter_map(|record| record.answer_ms)),
            failures: low_median(failures).unwrap_or_default(),
        }
    }
}

/// The median; of two in the middle the lower one, so that of two upstreams the
/// better one is what is usual.
fn low_median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let middle = values.len().checked_sub(1)? / 2;
    values.get(middle).copied()
}
