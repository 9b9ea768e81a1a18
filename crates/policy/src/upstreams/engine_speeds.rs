//! Engine speeds: periodic update of the estimates, exchange of votes between hosts, and counts.

use super::*;

/// Time between two updates of the estimated speeds.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of votes in one load note.
const MAX_VOTES_PER_NOTE: usize = 4;

/// Numbers of engines by estimated speed, relative to the engines that serve the same models.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SpeedCounts {
    /// Engines faster than the baseline.
    pub faster: usize,
    /// Engines slower than the baseline.
    pub slower: usize,
    /// Engines at the baseline speed.
    pub usual: usize,
}

impl Pool {
    /// Updates the estimated speeds if an update is due. Returns the speeds that changed.
    pub(crate) fn review_speeds(&mut self, now: Time) -> Vec<SpeedChange> {
        if now < self.next_speed_review {
            return Vec::new();
        }
        self.next_speed_review = now + REVIEW_INTERVAL;
        for state in &mut self.states {
            state.speed.expire(now);
        }
        let baselines = self.baseline_speeds();
        let mut changed = Vec::new();
        for state in &mut self.states {
            let Upstream::Engine(engine) = &state.definition else {
                continue;
            };
            let Some(baseline) = baselines.get(&engine.models) else {
                continue;
            };
            let factor_before = state.speed.factor();
            if state.speed.update_step(baseline, now) {
                changed.push(state.speed_change(factor_before));
            }
        }
        changed
    }

    /// Baseline speed for each set of models that engines serve.
    fn baseline_speeds(&self) -> BTreeMap<BTreeSet<ModelId>, BaselineSpeed> {
        let mut by_models: BTreeMap<&BTreeSet<ModelId>, Vec<&EngineSpeed>> = BTreeMap::new();
        for state in &self.states {
            if let Upstream::Engine(engine) = &state.definition {
                by_models
                    .entry(&engine.models)
                    .or_default()
                    .push(&state.speed);
            }
        }
        let baselines = by_models.into_iter();
        baselines
            .map(|(models, speeds)| (models.clone(), BaselineSpeed::of(&speeds)))
            .collect()
    }

    /// Records the votes of another host. A vote is dropped if its key belongs to several engines.
    pub(crate) fn note_speed_votes(&mut self, host: &HostId, votes: &[SpeedVote], now: Time) {
        for vote in votes {
            let states = self.states.iter_mut();
            let mut matching = states.filter(|state| state.speed.key == vote.engine);
            if let (Some(state), None) = (matching.next(), matching.next()) {
                state.speed.votes.record(host, vote.pace, now);
            }
        }
    }

    /// Votes for the next load note: of the votes with new samples, those that were announced
    /// longest ago.
    pub(crate) fn take_speed_votes(&mut self, now: Time) -> Vec<SpeedVote> {
        let states = self.states.iter().enumerate();
        let mut pending: Vec<_> = states
            .filter_map(|(index, state)| Some((state.speed.pending_vote()?, index)))
            .collect();
        pending.sort_unstable();
        pending.truncate(MAX_VOTES_PER_NOTE);
        let indexes = pending.into_iter().map(|(_, index)| index);
        indexes
            .filter_map(|index| self.states[index].speed.take_vote(now))
            .collect()
    }

    pub(crate) fn speed_counts(&self) -> SpeedCounts {
        let mut counts = SpeedCounts::default();
        for state in self.states.iter().filter(|state| !state.removed) {
            if matches!(state.definition, Upstream::Engine(_)) {
                match state.speed.step.cmp(&SpeedStep::BASELINE) {
                    Ordering::Greater => counts.faster += 1,
                    Ordering::Less => counts.slower += 1,
                    Ordering::Equal => counts.usual += 1,
                }
            }
        }
        counts
    }
}

impl UpstreamState {
    fn speed_change(&self, factor_before: f64) -> SpeedChange {
        SpeedChange {
            factor: self.speed.factor(),
            factor_before,
            hosts: self.speed.votes.len(),
            read_tokens_per_ms: self.speed.prefill_tokens_per_ms,
            samples: self.speed.sample_count(),
            upstream: self.id.clone(),
        }
    }
}

impl Controller {
    pub(crate) fn tick_speeds(&mut self, now: Time, actions: &mut Vec<Action>) {
        let changed = self.pool.review_speeds(now);
        actions.extend(changed.into_iter().map(Action::NoteSpeed));
    }

    /// Numbers of engines by speed, as estimated by this host.
    pub fn speed_counts(&self) -> SpeedCounts {
        self.pool.speed_counts()
    }
}
