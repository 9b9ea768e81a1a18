//! Requests that wait for nothing but a token.

use super::*;

impl Controller {
    /// Targets with requests that wait, none of whose upstreams may be sent one.
    pub(crate) fn starved_targets(&self, now: Time) -> Vec<Target> {
        let waiting = self.lanes.iter().filter(|(_, lane)| !lane.is_empty());
        let starved = waiting.filter(|(target, _)| self.is_starved(target, now));
        starved.map(|(target, _)| target.clone()).collect()
    }

    /// Whether a limit is all that keeps requests of a target from its upstreams.
    fn is_starved(&self, target: &Target, now: Time) -> bool {
        let mut copies = self.pool.upstreams_of(target);
        let is_limited = copies.clone().any(|state| self.waits_for_token(state, now));
        is_limited && !copies.any(|state| state.accepts_request(now))
    }

    fn waits_for_token(&self, state: &UpstreamState, now: Time) -> bool {
        state.is_available(now) && !state.limit.has_token(now)
    }

    /// Upstreams of a target that would take work if there were a token.
    pub(crate) fn starved_copies(&self, target: &Target, now: Time) -> Vec<UpstreamId> {
        let copies = self.pool.upstreams_of(target);
        let starved = copies.filter(|state| self.waits_for_token(state, now));
        starved.map(|state| state.id.clone()).collect()
    }

    /// Tokens that the requests of a target wait for, the most urgent first.
    pub(crate) fn waiting_tokens(&self, target: &Target) -> Vec<WantedTokens> {
        let mut counts: BTreeMap<u8, u32> = BTreeMap::new();
        for (_, facts) in self.waiting_for(target) {
            *counts.entry(facts.engine_priority).or_default() += 1;
        }
        let wanted = counts.into_iter().map(|(priority, count)| WantedTokens {
            count,
            priority: Some(priority),
        });
        wanted.take(peer::MAX_WANTED).collect()
    }

    fn waiting_for<'a>(
        &'a self,
        target: &'a Target,
    ) -> impl Iterator<Item = (RequestId, &'a RequestFacts)> {
        let queued = self.requests.iter().filter_map(|(id, stage)| match stage {
            Stage::Queued(request) => Some((*id, &request.facts)),
            _ => None,
        });
        queued.filter(move |(_, facts)| facts.target == *target)
    }

    /// Refuses requests for which no token will come in time, with the time after which one is
    /// likely: their callers had better ask again than wait for nothing.
    pub(crate) fn refuse_starved(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.queued == 0 {
            return;
        }
        for target in self.starved_targets(now) {
            for (request, wait) in self.too_late(&target, now) {
                self.refuse_limited(now, request, wait, actions);
            }
        }
    }

    /// Requests that wait in vain, and for how long they would; the most urgent ones come first.
    fn too_late(&self, target: &Target, now: Time) -> Vec<(RequestId, Duration)> {
        let copies = self.starved_copies(target, now);
        let limits: Vec<&UpstreamLimit> = copies
            .iter()
            .filter_map(|id| Some(&self.pool.get(id)?.limit))
            .collect();
        // With many upstreams a few are asked.
        let enough = limits.len().clamp(1, asking::MAX_OPEN);
        let mut queued: Vec<(RequestId, &RequestFacts)> = self.waiting_for(target).collect();
        queued.sort_unstable_by_key(|(id, facts)| (facts.engine_priority, facts.due, *id));
        let mut late = Vec::new();
        let mut ahead = 0;
        for (id, facts) in queued {
            let waits = limits.iter();
            let waits = waits.filter_map(|limit| limit.expected_wait(facts.engine_priority, now));
            let waits: Vec<Duration> = waits.collect();
            let rounds = (1 + ahead / enough) as u32;
            let wait = waits.iter().min().copied().unwrap_or_default();
            let wait = wait.saturating_mul(rounds);
            if waits.len() >= enough && now + wait >= facts.deadline {
                late.push((id, wait));
            } else {
                ahead += 1;
            }
        }
        late
    }

    fn refuse_limited(
        &mut self,
        now: Time,
        id: RequestId,
        wait: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.unqueue(now, id) else {
            return;
        };
        let retry_after = self.spread(wait);
        let reason = RefusalReason::UpstreamLimited;
        self.refuse_with(now, &request, reason, retry_after, actions);
    }
}
