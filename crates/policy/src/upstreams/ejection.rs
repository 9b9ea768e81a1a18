//! Which upstreams get no new work because they fail or cannot be reached, and how
//! they come back.

use super::*;

/// At least one in so many upstreams of a target stays in use, however many
/// have failed.
const UPSTREAMS_PER_EJECTION: usize = 2;

impl Pool {
    /// Notes a failure, and ejects the upstream if it has failed often and
    /// enough others are left.
    pub(crate) fn note_failure(&mut self, id: &UpstreamId, target: &Target, now: Time) {
        let may_eject = self.may_eject(target);
        if let Some(state) = self.get_mut(id)
            && state.health.note_failure()
            && may_eject
        {
            state.health.eject(now);
        }
    }

    /// Notes that an upstream was observed: its whole failure domain is in reach.
    pub(crate) fn note_responsive(&mut self, id: &UpstreamId, now: Time) {
        if let Some(index) = self.index_by_id.get(id) {
            let domain = self.states[*index].definition.failure_domain();
            self.silent_domains.note_responsive(domain, now);
        }
    }

    /// Notes that no connection to an upstream could be made.
    pub(crate) fn note_unreachable(&mut self, id: &UpstreamId) {
        if let Some(index) = self.index_by_id.get(id) {
            let domain = self.states[*index].definition.failure_domain();
            self.silent_domains.note_unreachable(domain, id);
        }
    }

    /// Ejects the upstreams of failure domains that have fallen silent, however many
    /// they are, if others that are observed serve the same.
    pub(crate) fn eject_silent_domains(&mut self, now: Time) {
        let silent = self.silent_domains.take_silent(&self.states, now);
        if silent.is_empty() {
            return;
        }
        let is_silent = |state: &UpstreamState| silent.contains(state.definition.failure_domain());
        let is_to_eject = |state: &UpstreamState| {
            is_silent(state) && state.health.is_healthy() && self.has_replacements(state, is_silent)
        };
        let indexes = (0..self.states.len()).filter(|index| is_to_eject(&self.states[*index]));
        for index in indexes.collect::<Vec<_>>() {
            self.states[index].health.eject(now);
        }
    }

    /// Whether everything that an upstream serves is served by another one that is
    /// well and not given up.
    fn has_replacements(
        &self,
        state: &UpstreamState,
        excluded: impl Fn(&UpstreamState) -> bool,
    ) -> bool {
        let has_replacement = |target: &Target| {
            let mut others = self.upstreams_of(target);
            others.any(|other| other.health.is_healthy() && !excluded(other))
        };
        pool::targets_of(&state.definition)
            .iter()
            .all(has_replacement)
    }

    /// What goes wrong without the cap: a fault of the network or of this host
    /// makes every upstream fail, all are ejected, and nothing is served even
    /// where something still could be.
    fn may_eject(&self, target: &Target) -> bool {
        if !self.serves(target) {
            return false;
        }
        let all = self.upstreams_of(target);
        let ejected = all.clone().filter(|state| !state.health.is_healthy());
        (ejected.count() + 1) * UPSTREAMS_PER_EJECTION <= all.count().max(UPSTREAMS_PER_EJECTION)
    }

    /// Upstreams to be probed now; each is named once for each probe.
    pub(crate) fn take_probes(&mut self, now: Time) -> Vec<(UpstreamId, SocketAddr)> {
        self.states
            .iter_mut()
            .filter(|state| !state.is_leaving(now) && state.backoff.is_over(now))
            .filter(|state| state.limit.has_token(now))
            .filter_map(|state| {
                let due = state.health.take_probe(now);
                if due {
                    state.limit.consume_token(now);
                }
                due.then(|| (state.id.clone(), state.definition.address()))
            })
            .collect()
    }
}
