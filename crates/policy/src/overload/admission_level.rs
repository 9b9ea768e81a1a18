/// Part of the time for the first token beyond which the level falls: engines and answers differ,
/// and a caller that comes back after a third of its time still has to be served.
const DECREASE_ABOVE: f64 = 0.5;

/// Part of the time for the first token within which the level rises.
const INCREASE_BELOW: f64 = 0.4;

/// Least part that is left of the level when it falls; it falls by as much as the wait is too long.
const MIN_DECREASE_FACTOR: f64 = 0.5;

/// Growth of the level where no wait is expected; less the longer it is.
const MAX_INCREASE: f64 = 0.4;

/// Growth of the level while upstreams have room.
const RECOVERY_INCREASE: f64 = 0.25;

/// Least level: every class gets something.
pub(crate) const MIN_LEVEL: f64 = 0.1;

/// Part of a class's requests that is taken.
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

    /// Whether all are taken.
    pub(crate) fn is_full(self) -> bool {
        self.0 >= 1.0
    }

    /// Whether it can't fall any further.
    pub(crate) fn is_min(self) -> bool {
        self.0 <= MIN_LEVEL
    }

    /// Follows the expected wait for first tokens, as a part of what answers leave of the callers'
    /// limit.
    pub(crate) fn adjust(&mut self, wait_ratio: f64, may_decrease: bool) {
        if wait_ratio > DECREASE_ABOVE && may_decrease {
            let factor = (DECREASE_ABOVE / wait_ratio).max(MIN_DECREASE_FACTOR);
            self.0 = (self.0 * factor).max(MIN_LEVEL);
        } else if wait_ratio < INCREASE_BELOW {
            let scale = (INCREASE_BELOW - wait_ratio) / INCREASE_BELOW;
            self.0 = (self.0 + MAX_INCREASE * scale).min(1.0);
        }
    }

    /// Rises while upstreams have room.
    pub(crate) fn recover(&mut self) {
        self.0 = (self.0 + RECOVERY_INCREASE).min(1.0);
    }
}
