use super::*;

/// Milliseconds that a token can take an engine; what is beyond is a fault of measuring.
const PLAUSIBLE_MS_PER_TOKEN: std::ops::RangeInclusive<f64> = 0.000_1..=10_000.0;

/// Time that one token took an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SpeedSample {
    pub(crate) at: Time,
    pub(crate) ms_per_token: f64,
}

impl SpeedSample {
    /// A sample of so many tokens in a span; `None` for one that says nothing.
    pub(crate) fn new(tokens: u64, span: Duration, at: Time) -> Option<Self> {
        let ms_per_token = span.as_secs_f64() * 1_000.0 / tokens as f64;
        PLAUSIBLE_MS_PER_TOKEN
            .contains(&ms_per_token)
            .then_some(Self { at, ms_per_token })
    }
}
