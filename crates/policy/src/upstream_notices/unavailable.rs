//! Requests that no upstream will take in time, by what the upstreams say of themselves.

use super::*;

/// Advice to return where all upstreams leave: others may be listed by then.
const LEAVING_RETURN: Duration = Duration::from_secs(1);

impl Controller {
    /// Refuses requests whose upstreams all leave. They wait until their first token is due, as
    /// others may be listed meanwhile; later an answer is worth less than one elsewhere.
    pub(crate) fn refuse_unavailable(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.queued == 0 || self.pool.departures.is_empty() {
            return;
        }
        let waiting = self.lanes.iter().filter(|(_, lane)| !lane.is_empty());
        let left = waiting.filter(|(target, _)| self.all_leave(target, now));
        let left: BTreeSet<Target> = left.map(|(target, _)| target.clone()).collect();
        if left.is_empty() {
            return;
        }
        let overdue = self.requests.iter().filter_map(|(id, stage)| match stage {
            Stage::Queued(request) => {
                let facts = &request.facts;
                (left.contains(&facts.target) && now >= facts.due).then_some(*id)
            }
            _ => None,
        });
        let mut overdue: Vec<RequestId> = overdue.collect();
        overdue.sort_unstable();
        for id in overdue {
            if let Some(request) = self.unqueue(now, id) {
                let retry_after = self.spread(LEAVING_RETURN);
                self.refuse_with(
                    now,
                    &request,
                    RefusalReason::NoUpstream,
                    retry_after,
                    actions,
                );
            }
        }
    }

    fn all_leave(&self, target: &Target, now: Time) -> bool {
        let mut copies = self.pool.copies(target).peekable();
        copies.peek().is_some() && copies.all(|state| state.is_leaving(now))
    }
}
