use super::*;

/// Part of a pool's engines that must have been seen before any is compared, and the number of
/// them that is enough in any pool.
const MIN_MEASURED_SHARE: f64 = 1.0 / 3.0;
const MAX_REQUIRED_MEASURED: usize = 16;

/// Part of the engines that read faster than is believed of the pool: most others are delayed by
/// what no host knows.
const BASELINE_QUANTILE: f64 = 0.25;

/// Part of the engines that are faster than what is usual.
const MEDIAN: f64 = 0.5;

/// What is usual among the engines of one pool.
#[derive(Debug, Default)]
pub(crate) struct BaselineSpeed {
    /// Median of their times to read a token.
    median_ms_per_token: Option<f64>,
    /// Time in which an engine of the usual speed reads a token.
    baseline_ms_per_token: Option<f64>,
}

impl BaselineSpeed {
    pub(crate) fn of(speeds: &[&EngineSpeed]) -> Self {
        let times = speeds
            .iter()
            .filter_map(|speed| speed.prefill_ms_per_token());
        let normalized_times = speeds.iter().filter_map(|speed| {
            let ms_per_token = speed.prefill_ms_per_token()?;
            Some(ms_per_token * speed.factor())
        });
        Self {
            median_ms_per_token: quantile(times, MEDIAN, speeds.len()),
            baseline_ms_per_token: quantile(normalized_times, BASELINE_QUANTILE, speeds.len()),
        }
    }

    /// How much faster than usual an engine reads that takes so long for a token.
    pub(crate) fn factor_of(&self, ms_per_token: f64) -> Option<f64> {
        Some(self.median_ms_per_token? / ms_per_token)
    }

    /// Prompt tokens that an engine of the usual speed reads in a millisecond.
    pub(crate) fn prefill_tokens_per_ms(&self) -> Option<f64> {
        self.baseline_ms_per_token.map(f64::recip)
    }
}

/// A quantile of what was seen of so many engines, if that is enough.
fn quantile(values: impl Iterator<Item = f64>, fraction: f64, engine_count: usize) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    let needed = ((MIN_MEASURED_SHARE * engine_count as f64).ceil() as usize)
        .clamp(2, MAX_REQUIRED_MEASURED);
    if values.len() < needed {
        return None;
    }
    values.sort_by(f64::total_cmp);
    values
        .get((fraction * values.len() as f64) as usize)
        .copied()
}
