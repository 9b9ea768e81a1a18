//! Queued requests that wait only for a token.

use super::*;

impl Controller {
    /// Targets that have queued requests, have an upstream that lacks only a token, and have no
    /// upstream that accepts a request now.
    pub(crate) fn token_limited_targets(&self, now: Time) -> Vec<Target> {
        let waiting = self
            .target_queues
            .iter()
            .filter(|(_, queues)| !queues.is_empty());
        let token_limited = waiting.filter(|(target, _)| self.is_token_limited(target, now));
        token_limited.map(|(target, _)| target.clone()).collect()
    }

    /// Whether a limit is all that keeps requests of a target from its upstreams.
    fn is_token_limited(&self, target: &Target, now: Time) -> bool {
        let mut upstreams = self.pool.upstreams_of(target);
        let is_limited = upstreams
            .clone()
            .any(|state| self.lacks_only_token(state, now));
        is_limited && !upstreams.any(|state| state.accepts_request(now))
    }

    fn lacks_only_token(&self, state: &UpstreamState, now: Time) -> bool {
        state.is_available(now) && !state.limit.has_token(now)
    }

    /// Upstreams of a target that would accept a request if this host had a token.
    pub(crate) fn token_limited_upstreams(&self, target: &Target, now: Time) -> Vec<UpstreamId> {
        let upstreams = self.pool.upstreams_of(target);
        let token_limited = upstreams.filter(|state| self.lacks_only_token(state, now));
        token_limited.map(|state| state.id.clone()).collect()
    }

    /// Tokens that the queued requests of a target wait for, the most urgent first.
    pub(crate) fn tokens_for_queued(&self, target: &Target) -> Vec<WantedTokens> {
        let mut counts: BTreeMap<u8, u32> = BTreeMap::new();
        for (_, facts) in self.queued_requests(target) {
            *counts.entry(facts.engine_priority).or_default() += 1;
        }
        let wanted = counts.into_iter().map(|(priority, count)| WantedTokens {
            count,
            priority: Some(priority),
        });
        wanted.take(peer::MAX_WANTED).collect()
    }

    fn queued_requests<'a>(
        &'a self,
        target: &'a Target,
    ) -> impl Iterator<Item = (RequestId, &'a RequestFacts)> {
        let queued = self.requests.iter().filter_map(|(id, stage)| match stage {
            Stage::Queued(request) => Some((*id, &request.facts)),
            _ => None,
        });
        queued.filter(move |(_, facts)| facts.target == *target)
    }

    /// Refuses requests that will get no token before their deadline, so that their callers can
    /// retry when a token is likely instead of waiting for a token that comes too late.
    pub(crate) fn refuse_token_limited(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.queued_count == 0 {
            return;
        }
        for target in self.token_limited_targets(now) {
            for (request, wait) in self.requests_missing_deadline(&target, now) {
                self.refuse_for_limit(now, request, wait, actions);
            }
        }
    }

    /// Queued requests that will get no token before their deadline, each with its expected wait,
    /// the most urgent first.
    fn requests_missing_deadline(&self, target: &Target, now: Time) -> Vec<(RequestId, Duration)> {
        let upstreams = self.token_limited_upstreams(target, now);
        let limits: Vec<&UpstreamLimit> = upstreams
            .iter()
            .filter_map(|id| Some(&self.pool.get(id)?.limit))
            .collect();
        // Of many upstreams only a few are asked for tokens, so only these have an expected wait.
        let asked_upstreams = limits
            .len()
            .clamp(1, token_requests::MAX_OPEN_TOKEN_REQUESTS);
        let mut queued: Vec<(RequestId, &RequestFacts)> = self.queued_requests(target).collect();
        queued.sort_unstable_by_key(|(id, facts)| (facts.engine_priority, facts.due, *id));
        let mut missing = Vec::new();
        let mut ahead = 0;
        for (id, facts) in queued {
            let waits = limits.iter();
            let waits = waits.filter_map(|limit| limit.expected_wait(facts.engine_priority, now));
            let waits: Vec<Duration> = waits.collect();
            let rounds = (1 + ahead / asked_upstreams) as u32;
            let wait = waits.iter().min().copied().unwrap_or_default();
            let wait = wait.saturating_mul(rounds);
            if waits.len() >= asked_upstreams && now + wait >= facts.deadline {
                missing.push((id, wait));
            } else {
                ahead += 1;
            }
        }
        missing
    }

    fn refuse_for_limit(
        &mut self,
        now: Time,
        id: RequestId,
        wait: Duration,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.remove_queued(now, id) else {
            return;
        };
        let retry_after = self.jittered_retry_after(wait);
        let reason = RefusalReason::UpstreamLimited;
        self.refuse_with_retry_after(now, &request, reason, retry_after, actions);
    }
}
