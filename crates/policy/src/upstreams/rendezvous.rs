//! Rendezvous hashing of keys to engines, weighted by the speeds of the engines.

use super::*;

/// Position of an engine in the order of a key; the greatest comes first. All hosts that know the
/// same speeds get the same order. A change of one engine's speed moves only keys to or from that
/// engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Preference {
    hash: u64,
    step: SpeedStep,
}

impl Preference {
    pub(crate) fn of(state: &UpstreamState, key: u64) -> Self {
        Self {
            hash: placement::rendezvous_hash(&state.id, key),
            step: state.speed.step,
        }
    }

    pub(crate) fn compare(&self, other: &Self) -> Ordering {
        if self.step == other.step {
            return self.hash.cmp(&other.hash);
        }
        let by_score = self.score().total_cmp(&other.score());
        by_score.then_with(|| self.hash.cmp(&other.hash))
    }

    /// Weighted score. Each engine has the greatest score for a share of all keys in proportion to
    /// its speed.
    fn score(&self) -> f64 {
        let uniform = (self.hash as f64 + 0.5) / 2.0_f64.powi(64);
        -self.step.factor() / uniform.min(1.0 - f64::EPSILON).ln()
    }
}
