use super::*;

/// Most samples that are kept.
const MAX_SAMPLES: usize = 16;

/// Time for which a sample counts: an engine that became slow is not taken for fast for longer.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(30);

/// Part of the samples that may be faster than what is believed: waiting makes samples slower, and
/// nothing makes them faster.
const LOW_QUANTILE: f64 = 0.2;

/// The last samples of one kind from one engine.
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

    /// Forgets samples that count no longer.
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

    /// Milliseconds that a token takes where nothing delays it.
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
