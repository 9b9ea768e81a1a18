/// Ratio of the expected to the maximum wait for the first token above which the level decreases.
/// It is well below 1 because engines and answers differ, and because a caller that retries after a
/// third of its time limit still has to be served.
const DECREASE_ABOVE: f64 = 0.5;

/// Ratio of the expected to the maximum wait for the first token below which the level increases.
const INCREASE_BELOW: f64 = 0.4;

/// Minimum factor of one decrease. The decrease grows with the amount by which the wait ratio
/// exceeds `DECREASE_ABOVE`.
const MIN_DECREASE_FACTOR: f64 = 0.5;

/// Increase of the level if no wait is expected. The increase shrinks as the expected wait grows.
const MAX_INCREASE: f64 = 0.4;

/// Increase of the level while upstreams have room.
const RECOVERY_INCREASE: f64 = 0.25;

/// Minimum level, so that some requests of every class are admitted.
pub(crate) const MIN_LEVEL: f64 = 0.1;

/// Fraction of a class's requests that is admitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdmissionLevel(f64);

impl Default for AdmissionLevel {
    fn default() -> Self {
        Self(1.0)
    }
}

impl AdmissionLevel {
    pub(crate) const fn get(self) -> f64 {
        self.0
    }

    /// Whether all requests are admitted.
    pub(crate) fn is_full(self) -> bool {
        self.0 >= 1.0
    }

    /// Whether the level can't decrease any further.
    pub(crate) fn is_min(self) -> bool {
        self.0 <= MIN_LEVEL
    }

    /// Adjusts the level to the expected wait for the first token. `wait_ratio` is that wait as a
    /// fraction of the maximum wait: the callers' time limit less the duration of an answer.
    pub(crate) fn adjust(&mut self, wait_ratio: f64, may_decrease: bool) {
        if wait_ratio > DECREASE_ABOVE && may_decrease {
            let factor = (DECREASE_ABOVE / wait_ratio).max(MIN_DECREASE_FACTOR);
            self.0 = (self.0 * factor).max(MIN_LEVEL);
        } else if wait_ratio < INCREASE_BELOW {
            let scale = (INCREASE_BELOW - wait_ratio) / INCREASE_BELOW;
            self.0 = (self.0 + MAX_INCREASE * scale).min(1.0);
        }
    }

    /// Increases the level while upstreams have room.
    pub(crate) fn recover(&mut self) {
        self.0 = (self.0 + RECOVERY_INCREASE).min(1.0);
    }
}
