use super::*;

/// Length of one bucket.
const BUCKET_S: u64 = 10;

/// Buckets kept: one hour.
const BUCKETS: usize = 360;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Number of the bucket since the start of the clock.
    number: u64,
    bad: u64,
    total: u64,
}

/// Counts of requests that met or missed their targets, over the last hour.
#[derive(Debug, Default)]
pub(crate) struct BurnWindow {
    buckets: VecDeque<Bucket>,
}

impl BurnWindow {
    pub(crate) fn note(&mut self, now: Time, good: bool) {
        let number = bucket_number(now);
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number < number)
        {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        while self.buckets.len() > BUCKETS {
            self.buckets.pop_front();
        }
        if let Some(bucket) = self.buckets.back_mut() {
            bucket.total += 1;
            bucket.bad += u64::from(!good);
        }
    }

    /// Share of bad requests over a window, as a multiple of what the
    /// objective allows; 1 uses the error budget up exactly.
    pub(crate) fn burn_rate(&self, now: Time, window_s: u64, objective: f64) -> f64 {
        let oldest = bucket_number(now).saturating_sub(window_s / BUCKET_S);
        let recent = self.buckets.iter().filter(|bucket| bucket.number >= oldest);
        let (bad, total) = recent.fold((0, 0), |(bad, total), bucket| {
            (bad + bucket.bad, total + bucket.total)
        });
        if total == 0 {
            return 0.0;
        }
        bad as f64 / total as f64 / (1.0 - objective)
    }
}

fn bucket_number(now: Time) -> u64 {
    now.as_us() / 1_000_000 / BUCKET_S
}
