//! Rendezvous hashing of keys over engines, by what each can do.

use super::*;

/// An engine's place in the order of a key; the greatest comes first. All hosts that believe the
/// same of the engines get the same order, and a change of one engine's speed moves only keys to
/// or from that engine.
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

    /// Score by which an engine is first for a part of all keys in proportion to its speed.
    fn score(&self) -> f64 {
        let uniform = (self.hash as f64 + 0.5) / 2.0_f64.powi(64);
        -self.step.factor() / uniform.min(1.0 - f64::EPSILON).ln()
    }
}
