//! What follows from the table's answer to a claim.

use super::*;

/// Advice to retry while another attempt with the same key is in progress.
const IN_PROGRESS_RETURN: Duration = Duration::from_secs(1);

/// Time that a request is put aside when the store refused its claim.
const PARK_PAUSE: Duration = Duration::from_millis(500);

/// Advice to retry after the store gave no answer.
const STORE_RETURN: Duration = Duration::from_secs(2);

impl Controller {
    pub(crate) fn on_claim_answered(
        &mut self,
        now: Time,
        id: RequestId,
        answer: ClaimAnswer,
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
        if request.stage.caller_gone && answer != ClaimAnswer::Ours {
            self.release_claiming(now, &request);
            let outcome = request.outcome(OutcomeEnd::CallerGone, Verdict::NotRun, None, now);
            actions.push(Action::Record(outcome));
            return;
        }
        match answer {
            ClaimAnswer::Ours => self.on_claim_granted(now, request, actions),
            ClaimAnswer::Ran(Some(answer)) => {
                self.release_claiming(now, &request);
                actions.push(Action::Replay {
                    answer,
                    request: id,
                });
                let end = OutcomeEnd::Replayed;
                let outcome = request.outcome(end, Verdict::Ran, None, now);
                actions.push(Action::Record(outcome));
            }
            ClaimAnswer::NotTried => self.park(now, request),
            other => {
                let refusal = self.claim_refusal(&other);
                self.release_claiming(now, &request);
                self.finish_refused(now, &request, refusal, actions);
            }
        }
    }

    /// Sends a request whose key is claimed, unless it came too late: then the
    /// key is released, for nothing was sent.
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
            let mut request = request.granted(now);
            self.push_send(now, &mut request, None, actions);
            self.requests.insert(request.id, Stage::Running(request));
            return;
        }
        let attempt = request.stage.attempt;
        if in_time && !request.stage.caller_gone {
            self.pool
                .end_request(&request.stage.upstream, &request.facts, now);
            self.enqueue(now, request.granted(now).requeue());
            return;
        }
        self.release_claiming(now, &request);
        settle(&request, attempt, Verdict::NotRun, None, actions);
        if request.stage.caller_gone {
            let outcome = request.outcome(OutcomeEnd::CallerGone, Verdict::NotRun, None, now);
            actions.push(Action::Record(outcome));
            return;
        }
        let refusal = Refusal::not_run(RefusalReason::DeadlinePassed);
        self.finish_refused(now, &request, refusal, actions);
    }

    fn claim_refusal(&mut self, answer: &ClaimAnswer) -> Refusal {
        match answer {
            ClaimAnswer::InProgress => Refusal {
                reason: RefusalReason::InProgress,
                retry_after: Some(self.spread(IN_PROGRESS_RETURN)),
                verdict: Verdict::MayHaveRun,
            },
            ClaimAnswer::MayHaveRun => Refusal {
                reason: RefusalReason::OutcomeUnknown,
                retry_after: None,
                verdict: Verdict::MayHaveRun,
            },
            ClaimAnswer::Reused => Refusal::not_run(RefusalReason::KeyReused),
            ClaimAnswer::NotTried | ClaimAnswer::Unknown => Refusal {
                retry_after: Some(self.spread(STORE_RETURN)),
                ..Refusal::not_run(RefusalReason::StoreUnavailable)
            },
            ClaimAnswer::Ran(_) | ClaimAnswer::Ours => Refusal {
                reason: RefusalReason::AnswerNotKept,
                retry_after: None,
                verdict: Verdict::Ran,
            },
        }
    }

    /// Puts a request aside while the store is down, without its slot. It
    /// comes back to its queue to try again, and is refused at its deadline.
    fn park(&mut self, now: Time, request: Request<Claiming>) {
        self.pool
            .end_request(&request.stage.upstream, &request.facts, now);
        let request = request.park();
        self.deadlines.insert((request.facts.deadline, request.id));
        self.parked.insert((now + PARK_PAUSE, request.id));
        self.queued += 1;
        self.requests.insert(request.id, Stage::Queued(request));
    }

    /// Returns requests to their queues whose time aside has passed.
    pub(crate) fn return_parked(&mut self, now: Time) {
        while let Some((until, id)) = self.parked.first().copied() {
            if until > now {
                return;
            }
            self.parked.pop_first();
            if let Some(mut request) = self.unqueue(now, id) {
                request.stage.parked = false;
                self.enqueue(now, request);
            }
        }
    }

    fn release_claiming(&mut self, now: Time, request: &Request<Claiming>) {
        self.pool
            .end_request(&request.stage.upstream, &request.facts, now);
        self.limits.release(&request.facts.team);
    }
}

/// Orders the end of a claimed request to be written into the table.
pub(crate) fn settle<S>(
    request: &Request<S>,
    attempt: AttemptId,
    verdict: Verdict,
    answer: Option<StoredAnswer>,
    actions: &mut Vec<Action>,
) {
    let Some((key, _)) = &request.facts.key else {
        return;
    };
    actions.push(Action::Settle(Settlement {
        answer,
        attempt,
        key: key.clone(),
        team: request.facts.team.clone(),
        verdict,
    }));
}
