use super::*;

/// Plausible times per token. A time outside this range is a measurement error.
const PLAUSIBLE_MS_PER_TOKEN: std::ops::RangeInclusive<f64> = 0.000_1..=10_000.0;

/// Time that an engine took per token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SpeedSample {
    pub(crate) at: Time,
    pub(crate) ms_per_token: f64,
}

impl SpeedSample {
    /// A sample for `tokens` tokens that took `span` in total; `None` if the time is not plausible.
    pub(crate) fn new(tokens: u64, span: Duration, at: Time) -> Option<Self> {
        let ms_per_token = span.as_secs_f64() * 1_000.0 / tokens as f64;
        PLAUSIBLE_MS_PER_TOKEN
            .contains(&ms_per_token)
            .then_some(Self { at, ms_per_token })
    }
}
