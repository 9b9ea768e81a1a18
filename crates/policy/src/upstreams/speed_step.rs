const STEPS_PER_DOUBLING: f64 = 3.0;

/// Maximum distance from the baseline, in steps. Measurements beyond it are clamped.
const MAX_STEP: f64 = 6.0;

/// Minimum distance of a measurement from a step other than the baseline for the step to change.
const HYSTERESIS_STEPS: f64 = 0.75;

/// Minimum distance of a measurement from the baseline for a change to a faster step. It is smaller
/// than the distance for a slower step: queued prompts that no host knows of make an engine look
/// slower, and nothing makes it look faster.
const BASELINE_TO_FASTER_STEPS: f64 = 1.0;

/// Minimum distance of a measurement from the baseline for a change to a slower step.
const BASELINE_TO_SLOWER_STEPS: f64 = 2.0;

/// Speed of an engine relative to the engines that serve the same models. 0 is the baseline, and
/// each step is a third of a doubling.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct SpeedStep(i8);

impl SpeedStep {
    pub(crate) const BASELINE: Self = Self(0);

    /// The speed as a multiple of the baseline speed.
    pub(crate) fn factor(self) -> f64 {
        (f64::from(self.0) / STEPS_PER_DOUBLING).exp2()
    }

    /// The step after a measurement of `factor` times the baseline speed. The step stays the same
    /// unless the measurement is far enough from it.
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

    /// The step moved by one toward the baseline.
    #[must_use]
    pub(crate) const fn decayed(self) -> Self {
        Self(self.0 - self.0.signum())
    }
}
