//! Handling of the results of idempotency key claims in the platform's table.

use super::*;

/// Time after which a caller is advised to retry while another request with the same key is in
/// progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time for which a request is parked after the table rejected its claim without writing it.
const PARK_DURATION: Duration = Duration::from_millis(500);

/// Time after which a caller is advised to retry after the table did not respond.
const STORE_RETRY_AFTER: Duration = Duration::from_secs(2);

impl Controller {
    pub(crate) fn on_claim_answered(
        &mut self,
        now: Time,
        id: RequestId,
        result: ClaimResult,
        actions: &mut Vec<Action>,
    ) {
        let request = match self.requests.remove(&id) {
            Some(Stage::Claiming(request)) => request,
            Some(other) => {
                self.requests.insert(id, other);
                return;
            }
            None => return,
        };
        if request.stage.caller_gone && result != ClaimResult::Granted {
            self.release_slot_and_limit(now, &request);
            let outcome = request.outcome(OutcomeEnd::CallerGone, Verdict::NotRun, None, now);
            actions.push(Action::Record(outcome));
            return;
        }
        match result {
            ClaimResult::Granted => self.on_claim_granted(now, request, actions),
            ClaimResult::Ran(Some(answer)) => {
                self.release_slot_and_limit(now, &request);
                actions.push(Action::Replay {
                    response: answer,
                    request: id,
                });
                let end = OutcomeEnd::Replayed;
                let outcome = request.outcome(end, Verdict::Ran, None, now);
                actions.push(Action::Record(outcome));
            }
            ClaimResult::NotWritten => self.park(now, request),
            other => {
                let refusal = self.claim_refusal(&other);
                self.release_slot_and_limit(now, &request);
                self.finish_refused(now, &request, refusal, actions);
            }
        }
    }

    /// Sends a request whose key is claimed. If the upstream takes no work any more, the request
    /// goes back to its queue and keeps the claim. If the deadline has passed or the caller has
    /// disconnected, the claim is released, as nothing was sent.
    fn on_claim_granted(
        &mut self,
        now: Time,
        request: Request<Claiming>,
        actions: &mut Vec<Action>,
    ) {
        let open = self
            .pool
            .get(&request.stage.upstream)
            .is_some_and(|state| state.is_available(now));
        let in_time = now <= request.facts.deadline;
        if open && in_time && !request.stage.caller_gone {
            let mut request = request.into_running(now);
            self.push_send(now, &mut request, None, actions);
            self.requests.insert(request.id, Stage::Running(request));
            return;
        }
        let attempt = request.stage.attempt;
        if in_time && !request.stage.caller_gone {
            self.pool
                .end_request(&request.stage.upstream, &request.facts, now);
            self.enqueue(now, request.into_running(now).requeue());
            return;
        }
        self.release_slot_and_limit(now, &request);
        push_settlement(&request, attempt, Verdict::NotRun, None, actions);
        if request.stage.caller_gone {
            let outcome = request.outcome(OutcomeEnd::CallerGone, Verdict::NotRun, None, now);
            actions.push(Action::Record(outcome));
            return;
        }
        let refusal = Refusal::not_run(RefusalReason::DeadlinePassed);
        self.finish_refused(now, &request, refusal, actions);
    }

    fn claim_refusal(&mut self, result: &ClaimResult) -> Refusal {
        match result {
            ClaimResult::InProgress => Refusal {
                reason: RefusalReason::InProgress,
                retry_after: Some(self.jittered_retry_after(IN_PROGRESS_RETRY_AFTER)),
                verdict: Verdict::MayHaveRun,
            },
            ClaimResult::MayHaveRun => Refusal {
                reason: RefusalReason::OutcomeUnknown,
                retry_after: None,
                verdict: Verdict::MayHaveRun,
            },
            ClaimResult::KeyReused => Refusal::not_run(RefusalReason::KeyReused),
            ClaimResult::NotWritten | ClaimResult::Unknown => Refusal {
                retry_after: Some(self.jittered_retry_after(STORE_RETRY_AFTER)),
                ..Refusal::not_run(RefusalReason::StoreUnavailable)
            },
            ClaimResult::Ran(_) | ClaimResult::Granted => Refusal {
                reason: RefusalReason::AnswerNotKept,
                retry_after: None,
                verdict: Verdict::Ran,
            },
        }
    }

    /// Parks a request while the table is unavailable, and releases its slot. After
    /// [`PARK_DURATION`] the request returns to its queue to try the claim again; at its deadline
    /// it is refused.
    fn park(&mut self, now: Time, request: Request<Claiming>) {
        self.pool
            .end_request(&request.stage.upstream, &request.facts, now);
        let request = request.park();
        self.deadlines.insert((request.facts.deadline, request.id));
        self.parked.insert((now + PARK_DURATION, request.id));
        self.queued_count += 1;
        self.requests.insert(request.id, Stage::Queued(request));
    }

    /// Returns parked requests to their queues once [`PARK_DURATION`] has passed.
    pub(crate) fn requeue_parked(&mut self, now: Time) {
        while let Some((until, id)) = self.parked.first().copied() {
            if until > now {
                return;
            }
            self.parked.pop_first();
            if let Some(mut request) = self.remove_queued(now, id) {
                request.stage.parked = false;
                self.enqueue(now, request);
            }
        }
    }

    fn release_slot_and_limit(&mut self, now: Time, request: &Request<Claiming>) {
        self.pool
            .end_request(&request.stage.upstream, &request.facts, now);
        self.team_limits.release(&request.facts.team);
    }
}

/// Adds an action that writes the outcome of a claimed request to the platform's table.
pub(crate) fn push_settlement<S>(
    request: &Request<S>,
    attempt: AttemptId,
    verdict: Verdict,
    response: Option<StoredResponse>,
    actions: &mut Vec<Action>,
) {
    let Some((key, _)) = &request.facts.key else {
        return;
    };
    actions.push(Action::Settle(Settlement {
        response,
        attempt,
        key: key.clone(),
        team: request.facts.team.clone(),
        verdict,
    }));
}
