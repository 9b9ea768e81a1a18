use super::*;

/// Steps in which a time doubles.
const STEPS_PER_DOUBLING: f64 = 8.0;

/// Time in which an engine reads a prompt token, in steps of an eighth of a doubling of a
/// millisecond.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PrefillTokenTime(i8);

impl PrefillTokenTime {
    /// The nearest step.
    pub fn from_ms(token_ms: f64) -> Self {
        Self((token_ms.log2() * STEPS_PER_DOUBLING).round() as i8)
    }

    /// Milliseconds a token.
    pub fn token_ms(self) -> f64 {
        (f64::from(self.0) / STEPS_PER_DOUBLING).exp2()
    }
}
