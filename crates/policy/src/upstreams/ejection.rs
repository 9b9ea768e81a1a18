//! Ejection of upstreams that fail or cannot be reached, and the health probes that end an
//! ejection.

use super::*;

/// Number of upstreams of a target per ejected one. At most half of a target's upstreams are
/// ejected for their failures, except that the only upstream of a target may be ejected.
const UPSTREAMS_PER_EJECTION: usize = 2;

impl Pool {
    /// Records a failure of an upstream. Ejects the upstream if it has failed often enough in a
    /// row, unless too many upstreams of the target are ejected already.
    pub(crate) fn note_failure(&mut self, id: &UpstreamId, target: &Target, now: Time) {
        let may_eject = self.may_eject(target);
        if let Some(state) = self.get_mut(id)
            && state.health.note_failure()
            && may_eject
        {
            state.health.eject(now);
        }
    }

    /// Records that an upstream responded, which shows that its whole failure domain is reachable.
    pub(crate) fn note_responsive(&mut self, id: &UpstreamId, now: Time) {
        if let Some(index) = self.index_by_id.get(id) {
            let domain = self.states[*index].definition.failure_domain();
            self.silent_domains.note_responsive(domain, now);
        }
    }

    /// Records that no connection to an upstream could be established.
    pub(crate) fn note_unreachable(&mut self, id: &UpstreamId) {
        if let Some(index) = self.index_by_id.get(id) {
            let domain = self.states[*index].definition.failure_domain();
            self.silent_domains.note_unreachable(domain, id);
        }
    }

    /// Ejects the upstreams of failure domains that have become silent, whatever their number. An
    /// upstream is not ejected if it serves a target that has no healthy upstream in any other
    /// domain.
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

    /// Whether each target of an upstream also has a healthy upstream that is not excluded.
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

    /// Whether another upstream of a target may be ejected. A fault of the network or of this host
    /// makes all upstreams fail. Without the limit all of them would be ejected, and no request
    /// would be served even if some upstreams still work.
    fn may_eject(&self, target: &Target) -> bool {
        if !self.serves(target) {
            return false;
        }
        let all = self.upstreams_of(target);
        let ejected = all.clone().filter(|state| !state.health.is_healthy());
        (ejected.count() + 1) * UPSTREAMS_PER_EJECTION <= all.count().max(UPSTREAMS_PER_EJECTION)
    }

    /// Upstreams to be probed now, with their addresses. Each due probe is returned once, and takes
    /// a token of the upstream's rate limit.
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
