use super::*;

const MAX_SAMPLES: usize = 16;

/// Time for which a sample counts. An engine that became slow is not taken for a fast one for
/// longer than this.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(30);

/// Quantile of the samples that is taken as the true time. It is low because queueing makes samples
/// slower, and nothing makes them faster.
const LOW_QUANTILE: f64 = 0.2;

/// Recent samples of one engine, oldest first.
#[derive(Debug, Default)]
pub(crate) struct SpeedSamples {
    recent: VecDeque<SpeedSample>,
}

impl SpeedSamples {
    pub(crate) fn push(&mut self, sample: SpeedSample) {
        self.recent.push_back(sample);
        if self.recent.len() > MAX_SAMPLES {
            self.recent.pop_front();
        }
    }

    /// Drops the samples that are too old to count.
    pub(crate) fn expire(&mut self, now: Time) {
        while self
            .recent
            .front()
            .is_some_and(|sample| now.since(sample.at) > SAMPLE_LIFETIME)
        {
            self.recent.pop_front();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.recent.len()
    }

    /// Estimated time per token of an engine that nothing delays; `None` without samples.
    pub(crate) fn ms_per_token(&self) -> Option<f64> {
        let mut times: Vec<f64> = self
            .recent
            .iter()
            .map(|sample| sample.ms_per_token)
            .collect();
        times.sort_by(f64::total_cmp);
        let index = LOW_QUANTILE * times.len().checked_sub(1)? as f64;
        times.get(index.round() as usize).copied()
    }
}
