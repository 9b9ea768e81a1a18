/// Steps in which a speed doubles.
const STEPS_PER_DOUBLING: f64 = 3.0;

/// Most steps from what is usual that are believed.
const MAX_STEP: f64 = 6.0;

/// Steps by which a measure must be off for a step to be left.
const HYSTERESIS_STEPS: f64 = 0.75;

/// Steps by which a measure must be off for what is usual to be left for a faster step, and for a
/// slower one: waiting that nobody knows of makes an engine look slower, and nothing makes it
/// look faster.
const BASELINE_TO_FASTER_STEPS: f64 = 1.0;
const BASELINE_TO_SLOWER_STEPS: f64 = 2.0;

/// How fast an engine works against what is usual in its pool: 0 is usual, each step more is a
/// third of a doubling.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct SpeedStep(i8);

impl SpeedStep {
    /// What is usual.
    pub(crate) const BASELINE: Self = Self(0);

    /// How much faster than usual.
    pub(crate) fn factor(self) -> f64 {
        (f64::from(self.0) / STEPS_PER_DOUBLING).exp2()
    }

    /// The step after a speed of `factor` was measured: the same one unless that is well away.
    #[must_use]
    pub(crate) fn updated(self, factor: f64) -> Self {
        let measured = factor.log2() * STEPS_PER_DOUBLING;
        let margin = match self {
            Self::BASELINE if measured > 0.0 => BASELINE_TO_FASTER_STEPS,
            Self::BASELINE => BASELINE_TO_SLOWER_STEPS,
            _ => HYSTERESIS_STEPS,
        };
        if !measured.is_finite() || (measured - f64::from(self.0)).abs() < margin {
            return self;
        }
        Self(measured.round().clamp(-MAX_STEP, MAX_STEP) as i8)
    }

    /// One step nearer to what is usual.
    #[must_use]
    pub(crate) const fn decayed(self) -> Self {
        Self(self.0 - self.0.signum())
    }
}
