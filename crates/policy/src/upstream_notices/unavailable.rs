//! Refuses requests that, by the upstreams' notices, no upstream will accept in time.

use super::*;

/// `Retry-After` for callers if all upstreams are leaving: others may be listed by then.
const LEAVING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// When the upstreams of a target accept requests again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum NextAvailability {
    /// When the first of their backoffs ends.
    At(Time),
    /// Never, because all of them are leaving.
    Never,
}

impl Controller {
    /// Refuses queued requests that no upstream will accept in time. If all upstreams are leaving,
    /// requests are refused only when their first token is due, because other upstreams may be
    /// listed in the meantime.
    pub(crate) fn refuse_unavailable(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.queued_count == 0 || !self.pool.has_notices() {
            return;
        }
        let waiting = self
            .target_queues
            .iter()
            .filter(|(_, queues)| !queues.is_empty());
        let unavailable = waiting.filter_map(|(target, _)| {
            let next = self.next_availability(target, now)?;
            Some((target.clone(), next))
        });
        let unavailable: BTreeMap<Target, NextAvailability> = unavailable.collect();
        for (id, next) in self.requests_to_refuse(now, &unavailable) {
            let Some(request) = self.remove_queued(now, id) else {
                continue;
            };
            let (reason, wait) = match next {
                NextAvailability::At(at) => (RefusalReason::UpstreamBackoff, at.since(now)),
                NextAvailability::Never => (RefusalReason::NoUpstream, LEAVING_RETRY_AFTER),
            };
            let retry_after = self.jittered_retry_after(wait);
            self.refuse_with_retry_after(now, &request, reason, retry_after, actions);
        }
    }

    /// When the upstreams of a target accept requests again; `None` if one may accept them now, or
    /// if that time is unknown.
    fn next_availability(&self, target: &Target, now: Time) -> Option<NextAvailability> {
        let upstreams = self.pool.upstreams_of(target);
        let mut next = None;
        for state in upstreams {
            if state.is_leaving(now) {
                next.get_or_insert(NextAvailability::Never);
                continue;
            }
            if !state.health.is_healthy() || state.backoff.is_over(now) {
                return None;
            }
            let until = state.backoff.asked_until()?;
            next = match next {
                Some(NextAvailability::At(at)) => Some(NextAvailability::At(at.min(until))),
                _ => Some(NextAvailability::At(until)),
            };
        }
        next
    }

    fn requests_to_refuse(
        &self,
        now: Time,
        unavailable: &BTreeMap<Target, NextAvailability>,
    ) -> Vec<(RequestId, NextAvailability)> {
        if unavailable.is_empty() {
            return Vec::new();
        }
        let to_refuse = self.requests.iter().filter_map(|(id, stage)| {
            let Stage::Queued(request) = stage else {
                return None;
            };
            let facts = &request.facts;
            let next = *unavailable.get(&facts.target)?;
            let is_refused = match next {
                NextAvailability::At(at) => at >= facts.deadline,
                NextAvailability::Never => now >= facts.due,
            };
            is_refused.then_some((*id, next))
        });
        let mut to_refuse: Vec<(RequestId, NextAvailability)> = to_refuse.collect();
        to_refuse.sort_unstable_by_key(|(id, _)| *id);
        to_refuse
    }
}
