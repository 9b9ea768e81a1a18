use super::*;

/// Number of steps in which the time doubles.
const STEPS_PER_DOUBLING: f64 = 8.0;

/// Prefill time per prompt token of an engine, on a logarithmic scale: eight steps double the time,
/// and step 0 is one millisecond.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PrefillTokenTime(i8);

impl PrefillTokenTime {
    /// Rounds a time in milliseconds to the nearest step.
    pub fn from_ms(token_ms: f64) -> Self {
        Self((token_ms.log2() * STEPS_PER_DOUBLING).round() as i8)
    }

    /// Milliseconds per token.
    pub fn token_ms(self) -> f64 {
        (f64::from(self.0) / STEPS_PER_DOUBLING).exp2()
    }
}
