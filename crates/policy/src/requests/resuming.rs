//! Handling of a stream that was interrupted after part of it had been sent to the caller.

use super::*;

/// Number of resumptions, on any upstream, after which a stream is no longer resumed on the same
/// engine.
const MAX_RESUMES: u32 = 3;

impl Controller {
    /// Resumes an interrupted stream on another upstream or, if its engine supports that, on the
    /// same engine, where it keeps its slot. Otherwise ends the response and reports the verdict to
    /// the caller.
    pub(crate) fn resume_or_break(
        &mut self,
        now: Time,
        request: Request<Running>,
        failure: &AttemptFailure,
        actions: &mut Vec<Action>,
    ) {
        let engine_resumes = match self.pool.get(&request.stage.upstream) {
            Some(state) => matches!(&state.definition, Upstream::Engine(engine) if engine.resumes),
            None => false,
        };
        let Some(mut request) = self.move_stream(now, request, failure, actions) else {
            return;
        };
        let is_worth_resuming =
            failure.cause != FailureCause::ErrorStatus && !self.is_barred(now, &request.facts);
        let is_worth_resuming = is_worth_resuming && !self.drain.is_over(now);
        if engine_resumes && is_worth_resuming && request.stage.resume_count < MAX_RESUMES {
            request.stage.resume_count += 1;
            let attempt = request.stage.attempt;
            self.push_send(now, &mut request, Some(attempt), actions);
            self.requests.insert(request.id, Stage::Running(request));
            return;
        }
        self.release_slot(now, &request);
        self.team_limits.release(&request.facts.team);
        let tokens = request.stage.tokens;
        request.add_wasted_tokens(WasteCause::CutOff, tokens);
        if let Some(attempt) = request.claimed_by {
            push_settlement(&request, attempt, request.verdict, None, actions);
        }
        actions.push(Action::FailStream {
            refusal: Refusal {
                reason: RefusalReason::UpstreamFailed,
                retry_after: None,
                verdict: request.verdict,
            },
            request: request.id,
        });
        let upstream = Some(request.stage.upstream.clone());
        let outcome = Outcome {
            reason: Some(RefusalReason::UpstreamFailed),
            ..request.outcome(OutcomeEnd::Broken, request.verdict, upstream, now)
        };
        actions.push(Action::Record(outcome));
    }

    /// Resumes an interrupted stream on another upstream of the same software version, if its class
    /// allows that. Returns the request if it cannot be moved.
    fn move_stream(
        &mut self,
        now: Time,
        request: Request<Running>,
        failure: &AttemptFailure,
        actions: &mut Vec<Action>,
    ) -> Option<Request<Running>> {
        let facts = &request.facts;
        let allowed = facts.resumable
            && now < facts.deadline
            && failure.cause != FailureCause::TimedOut
            && !self.is_barred(now, facts)
            && !self.drain.is_over(now)
            && self.has_attempts_left(&request);
        if !allowed {
            return Some(request);
        }
        let mut avoid = request.tried.clone();
        avoid.push(request.stage.upstream.clone());
        let begun_by = VersionBound::Only(request.stage.software_version.clone());
        let placement = facts.placement(
            &avoid,
            &begun_by,
            None,
            facts.rank,
            self.stream_share(&facts.target),
            self.neighbors.candidate_limit(),
        );
        let Some(upstream) = self.pool.choose(&placement, now, &mut self.rng) else {
            return Some(request);
        };
        if !self
            .retry_budgets
            .take_retry(&facts.target, facts.engine_priority, now)
        {
            return Some(request);
        }
        self.release_slot(now, &request);
        let broken = request.stage.attempt;
        let attempt = self.new_attempt_id();
        self.pool.start_request(&upstream, &request.facts, now);
        let mut request = request.move_to(upstream, attempt, now);
        self.start_prompt(now, &mut request);
        request.stage.prompt_tokens_ahead = self.prompt_tokens_ahead(&request);
        self.push_send(now, &mut request, Some(broken), actions);
        self.requests.insert(request.id, Stage::Running(request));
        None
    }
}
