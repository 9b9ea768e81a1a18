use super::*;

/// Length of one bucket in seconds.
const BUCKET_S: u64 = 10;

/// Number of buckets that are kept: one hour.
const MAX_BUCKETS: usize = 360;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Index of the bucket, counted from the start of the clock.
    index: u64,
    missed: u64,
    total: u64,
}

/// Counts of requests that met or missed their targets, over the last hour.
#[derive(Debug, Default)]
pub(crate) struct BurnWindow {
    buckets: VecDeque<Bucket>,
}

impl BurnWindow {
    pub(crate) fn record(&mut self, now: Time, met_target: bool) {
        let index = bucket_index(now);
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.index < index)
        {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        while self.buckets.len() > MAX_BUCKETS {
            self.buckets.pop_front();
        }
        if let Some(bucket) = self.buckets.back_mut() {
            bucket.total += 1;
            bucket.missed += u64::from(!met_target);
        }
    }

    /// Fraction of requests in the window that missed their targets, divided by the fraction that
    /// the objective allows. A burn rate of 1 uses up the error budget exactly.
    pub(crate) fn burn_rate(&self, now: Time, window_s: u64, objective: f64) -> f64 {
        let oldest = bucket_index(now).saturating_sub(window_s / BUCKET_S);
        let recent = self.buckets.iter().filter(|bucket| bucket.index >= oldest);
        let (missed, total) = recent.fold((0, 0), |(missed, total), bucket| {
            (missed + bucket.missed, total + bucket.total)
        });
        if total == 0 {
            return 0.0;
        }
        missed as f64 / total as f64 / (1.0 - objective)
    }
}

fn bucket_index(now: Time) -> u64 {
    now.as_us() / 1_000_000 / BUCKET_S
}
