use super::*;

/// Share of the engines that must have a measured speed before they are compared with each other.
const MIN_MEASURED_SHARE: f64 = 1.0 / 3.0;

/// Number of measured engines that is enough, however many engines there are.
const MAX_REQUIRED_MEASURED: usize = 16;

/// Quantile of the normalized prefill times that gives the baseline rate. It is low because most
/// engines are delayed by work that no host knows of.
const BASELINE_QUANTILE: f64 = 0.25;

/// Quantile of the prefill times with which the time of a single engine is compared.
const MEDIAN: f64 = 0.5;

/// Baseline prefill speed of the engines that serve the same models.
#[derive(Debug, Default)]
pub(crate) struct BaselineSpeed {
    /// Median of the engines' prefill times per prompt token.
    median_ms_per_token: Option<f64>,
    /// Prefill time per prompt token of an engine at the baseline step.
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

    /// How many times faster than the median an engine prefills that takes `ms_per_token`.
    pub(crate) fn factor_of(&self, ms_per_token: f64) -> Option<f64> {
        Some(self.median_ms_per_token? / ms_per_token)
    }

    /// Prefill rate of an engine at the baseline step.
    pub(crate) fn prefill_tokens_per_ms(&self) -> Option<f64> {
        self.baseline_ms_per_token.map(f64::recip)
    }
}

/// A quantile of the measured values; `None` if too few of the `engine_count` engines have one.
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
