//! Refusals of requests, and the end of requests whose callers have disconnected.

use super::*;

/// Time after which a caller is advised to retry if all attempts failed or the request was refused
/// while it was queued.
const FAILED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Controller {
    /// Refuses a request whose last attempt failed. Advises a retry only if running the request
    /// again is safe.
    pub(crate) fn refuse_failed(
        &mut self,
        now: Time,
        request: Request<Running>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(attempt) = request.claimed_by {
            push_settlement(&request, attempt, request.verdict, None, actions);
        }
        let is_retriable = request.facts.idempotent || request.verdict == Verdict::NotRun;
        let refusal = Refusal {
            reason: RefusalReason::UpstreamFailed,
            retry_after: is_retriable.then(|| self.jittered_retry_after(FAILED_RETRY_AFTER)),
            verdict: request.verdict,
        };
        self.finish_refused(now, &request, refusal, actions);
    }

    /// Refuses a request that has been removed from its queue. If one of its features is barred for
    /// crashing upstreams, the caller is advised to retry after the bar ends.
    pub(crate) fn refuse(
        &mut self,
        now: Time,
        request: Request<Queued>,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let barred = self.crashes.barred(&request.facts.crash_subjects, now);
        let retry_after = match barred {
            Some((left, _)) => left,
            None => self.jittered_retry_after(FAILED_RETRY_AFTER),
        };
        self.refuse_with_retry_after(now, &request, reason, retry_after, actions);
    }

    /// Refuses a request that has been removed from its queue, with the given advice to retry.
    pub(crate) fn refuse_with_retry_after(
        &mut self,
        now: Time,
        request: &Request<Queued>,
        reason: RefusalReason,
        retry_after: Duration,
        actions: &mut Vec<Action>,
    ) {
        self.team_limits.release(&request.facts.team);
        if let Some(attempt) = request.claimed_by {
            push_settlement(request, attempt, request.verdict, None, actions);
        }
        let refusal = Refusal {
            reason,
            retry_after: Some(retry_after),
            verdict: request.verdict,
        };
        self.finish_refused(now, request, refusal, actions);
    }

    pub(crate) fn finish_refused<S>(
        &mut self,
        now: Time,
        request: &Request<S>,
        refusal: Refusal,
        actions: &mut Vec<Action>,
    ) {
        actions.push(Action::Refuse {
            refusal,
            request: request.id,
        });
        let outcome = request.outcome(refusal.reason.end(), refusal.verdict, None, now);
        let is_early = refusal.reason == RefusalReason::NoTimeLeft;
        let expected = is_early.then(|| self.expected_duration(&request.facts));
        actions.push(Action::Record(Outcome {
            expected_duration: expected.flatten(),
            reason: Some(refusal.reason),
            ..outcome
        }));
    }

    pub(crate) fn on_caller_gone(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        match self.requests.remove(&id) {
            None => {
                self.drop_waiting_for_version(now, id, actions);
            }
            Some(Stage::Queued(request)) => {
                self.requests.insert(id, Stage::Queued(request));
                if let Some(request) = self.remove_queued(now, id) {
                    self.drop_queued(now, &request, actions);
                }
            }
            Some(Stage::Claiming(mut request)) => {
                request.stage.caller_gone = true;
                self.requests.insert(id, Stage::Claiming(request));
            }
            Some(Stage::Running(request)) => self.cancel_running(now, request, actions),
        }
    }

    fn drop_queued(&mut self, now: Time, request: &Request<Queued>, actions: &mut Vec<Action>) {
        self.team_limits.release(&request.facts.team);
        if let Some(attempt) = request.claimed_by {
            push_settlement(request, attempt, request.verdict, None, actions);
        }
        let outcome = request.outcome(OutcomeEnd::CallerGone, request.verdict, None, now);
        actions.push(Action::Record(outcome));
    }

    /// Cancels the attempt of a request, so that the engine does not spend more time on it.
    fn cancel_running(
        &mut self,
        now: Time,
        mut request: Request<Running>,
        actions: &mut Vec<Action>,
    ) {
        self.count_service_call(now, &mut request);
        self.note_unfinished(now, &request);
        self.release_slot(now, &request);
        self.team_limits.release(&request.facts.team);
        let tokens = request.stage.tokens;
        request.add_wasted_tokens(WasteCause::Discarded, tokens);
        let verdict = request.verdict.join(Verdict::MayHaveRun);
        if let Some(attempt) = request.claimed_by {
            push_settlement(&request, attempt, verdict, None, actions);
        }
        actions.push(Action::Cancel {
            attempt: request.stage.attempt,
            request: request.id,
        });
        let upstream = Some(request.stage.upstream.clone());
        let outcome = request.outcome(OutcomeEnd::CallerGone, verdict, upstream, now);
        actions.push(Action::Record(outcome));
    }
}

/// Refuses a request whose team and class are not resolved.
pub(crate) fn push_refusal(request: RequestId, refusal: Refusal, actions: &mut Vec<Action>) {
    actions.push(Action::Refuse { refusal, request });
    actions.push(Action::Record(Outcome {
        reason: Some(refusal.reason),
        ..Outcome::unresolved(request, refusal.reason.end(), refusal.verdict)
    }));
}
