//! Requests that no upstream will take in time, by what the upstreams say of themselves.

use super::*;

/// Advice to return where all upstreams leave: others may be listed by then.
const LEAVING_RETURN: Duration = Duration::from_secs(1);

/// When the upstreams of a target take requests again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Opening {
    /// Once their backoffs are over, the first one at this moment.
    At(Time),
    /// Not any more, as all leave.
    Never,
}

impl Controller {
    /// Refuses requests that wait in vain. Where all upstreams leave they wait until their first
    /// token is due, as others may be listed meanwhile.
    pub(crate) fn refuse_unavailable(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.queued == 0 || !self.pool.has_notices() {
            return;
        }
        let waiting = self.lanes.iter().filter(|(_, lane)| !lane.is_empty());
        let closed = waiting.filter_map(|(target, _)| {
            let opening = self.opening(target, now)?;
            Some((target.clone(), opening))
        });
        let closed: BTreeMap<Target, Opening> = closed.collect();
        for (id, opening) in self.waiting_in_vain(now, &closed) {
            let Some(request) = self.unqueue(now, id) else {
                continue;
            };
            let (reason, wait) = match opening {
                Opening::At(at) => (RefusalReason::UpstreamBackoff, at.since(now)),
                Opening::Never => (RefusalReason::NoUpstream, LEAVING_RETURN),
            };
            let retry_after = self.spread(wait);
            self.refuse_with(now, &request, reason, retry_after, actions);
        }
    }

    /// `None` while one may take requests now, or nothing is known of when it will.
    fn opening(&self, target: &Target, now: Time) -> Option<Opening> {
        let copies = self.pool.upstreams_of(target);
        let mut opening = None;
        for state in copies {
            if state.is_leaving(now) {
                opening.get_or_insert(Opening::Never);
                continue;
            }
            if !state.health.is_well() || state.backoff.is_over(now) {
                return None;
            }
            let until = state.backoff.asked_until()?;
            opening = match opening {
                Some(Opening::At(at)) => Some(Opening::At(at.min(until))),
                _ => Some(Opening::At(until)),
            };
        }
        opening
    }

    fn waiting_in_vain(
        &self,
        now: Time,
        closed: &BTreeMap<Target, Opening>,
    ) -> Vec<(RequestId, Opening)> {
        if closed.is_empty() {
            return Vec::new();
        }
        let in_vain = self.requests.iter().filter_map(|(id, stage)| {
            let Stage::Queued(request) = stage else {
                return None;
            };
            let facts = &request.facts;
            let opening = *closed.get(&facts.target)?;
            let is_late = match opening {
                Opening::At(at) => at >= facts.deadline,
                Opening::Never => now >= facts.due,
            };
            is_late.then_some((*id, opening))
        });
        let mut in_vain: Vec<(RequestId, Opening)> = in_vain.collect();
        in_vain.sort_unstable_by_key(|(id, _)| *id);
        in_vain
    }
}
