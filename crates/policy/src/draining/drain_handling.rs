use super::*;

/// `Retry-After` from a host that stops: other hosts take the request at once.
const DRAIN_RETRY_AFTER: Duration = Duration::from_millis(200);

impl Controller {
    pub(crate) fn start_drain(&mut self, now: Time, end: Option<Time>, actions: &mut Vec<Action>) {
        self.phase = HostPhase::Draining;
        self.drain.start(now, end);
        self.tick_drain(now, actions);
    }

    /// Refuses the queued requests that can't end before the host stops. At the end of the stop,
    /// also abandons the running attempts.
    pub(crate) fn tick_drain(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.drain.is_limited() {
            return;
        }
        let queued = self.deadlines.iter().map(|(_, id)| *id);
        let too_late = queued.filter(|id| {
            let stage = self.requests.get(id);
            stage.is_some_and(|stage| !self.drain.can_end(now, stage.facts()))
        });
        let too_late: Vec<RequestId> = too_late.collect();
        for id in too_late {
            self.refuse_draining(now, id, actions);
        }
        if self.drain.is_over(now) {
            self.abandon_all(actions);
        }
    }

    /// Refuses a queued request that can't end before the host stops.
    pub(crate) fn refuse_draining(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(request) = self.remove_queued(now, id) {
            let reason = RefusalReason::Draining;
            self.refuse_with_retry_after(now, &request, reason, DRAIN_RETRY_AFTER, actions);
        }
    }

    fn abandon_all(&mut self, actions: &mut Vec<Action>) {
        for stage in self.requests.values_mut() {
            let Stage::Running(request) = stage else {
                continue;
            };
            if !request.stage.is_abandoned {
                request.stage.is_abandoned = true;
                actions.push(Action::Abandon {
                    attempt: request.stage.attempt,
                    request: request.id,
                });
            }
        }
    }

    /// Whether an attempt failed because this host abandoned it at the end of its stop, which says
    /// nothing about its upstream.
    pub(crate) fn was_abandoned_by_drain(&self, now: Time, request: &Request<Running>) -> bool {
        request.stage.is_abandoned && self.drain.is_over(now)
    }
}
