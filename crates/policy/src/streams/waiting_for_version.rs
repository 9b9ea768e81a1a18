//! Requests that may run only at one software version, while its upstreams are full or gone.

use super::*;

/// Time after which the upstreams of the version are tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

impl Controller {
    /// Takes a request out of the way of others in its queue that may run at any version. It is
    /// queued again shortly, and refused if no upstream of its version is left or its first token
    /// is due.
    pub(crate) fn set_aside(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut request) = self.remove_queued(now, id) else {
            return;
        };
        let facts = &request.facts;
        let (deadline, due) = (facts.deadline, facts.due);
        let is_served = self
            .pool
            .upstreams_of(&facts.target)
            .any(|state| facts.version_bound.admits(state) && !state.is_leaving(now));
        if !is_served {
            self.refuse(now, request, RefusalReason::StreamVersionGone, actions);
        } else if now >= due {
            self.refuse(now, request, RefusalReason::UpstreamsFull, actions);
        } else {
            request.stage.parked = true;
            self.deadlines.insert((deadline, id));
            self.parked.insert((now + RETRY_INTERVAL, id));
            self.queued_count += 1;
            self.requests.insert(id, Stage::Queued(request));
        }
    }
}
