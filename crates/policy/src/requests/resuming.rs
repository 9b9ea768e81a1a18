//! What becomes of a stream that broke after part of it had gone out.

use super::*;

/// Times that one stream may be resumed.
const MAX_RESUMES: u32 = 3;

impl Controller {
    /// Resumes a broken stream where the engine can, else ends it with the
    /// verdict. It keeps its slot meanwhile.
    pub(crate) fn resume_or_break(
        &mut self,
        now: Time,
        request: Request<Running>,
        failure: &Failure,
        actions: &mut Vec<Action>,
    ) {
        let resumes = match self.pool.get(&request.stage.upstream) {
            Some(state) => matches!(&state.definition, Upstream::Engine(engine) if engine.resumes),
            None => false,
        };
        let Some(mut request) = self.move_stream(now, request, failure, actions) else {
            return;
        };
        let worth_it =
            failure.cause != FailureCause::ErrorStatus && !self.is_barred(now, &request.facts);
        if resumes && worth_it && request.stage.resumes < MAX_RESUMES {
            request.stage.resumes += 1;
            let attempt = request.stage.attempt;
            self.push_send(now, &mut request, Some(attempt), actions);
            self.requests.insert(request.id, Stage::Running(request));
            return;
        }
        self.leave_upstream(now, &request);
        self.limits.release(&request.facts.team);
        let tokens = request.stage.tokens;
        request.waste(WasteCause::CutOff, tokens);
        if let Some(attempt) = request.claimed_by {
            settle(&request, attempt, request.verdict, None, actions);
        }
        actions.push(Action::Break {
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

    /// Goes on with a broken stream at another upstream, where its class allows
    /// that; gives the request back where it cannot be done.
    fn move_stream(
        &mut self,
        now: Time,
        request: Request<Running>,
        failure: &Failure,
        actions: &mut Vec<Action>,
    ) -> Option<Request<Running>> {
        let facts = &request.facts;
        let allowed = facts.resumable
            && now < facts.deadline
            && failure.cause != FailureCause::TimedOut
            && !self.is_barred(now, facts)
            && self.has_attempts_left(&request);
        if !allowed {
            return Some(request);
        }
        let mut avoid = request.tried.clone();
        avoid.push(request.stage.upstream.clone());
        let wanted = facts.placement(
            &avoid,
            None,
            facts.rank,
            self.stream_share(&facts.target),
            self.neighbors.candidates(),
        );
        let Some(upstream) = self.pool.choose(&wanted, now, &mut self.rng) else {
            return Some(request);
        };
        if !self.retries.take(&facts.target, facts.engine_priority, now) {
            return Some(request);
        }
        self.leave_upstream(now, &request);
        let broken = request.stage.attempt;
        let attempt = self.new_attempt();
        self.pool.start_request(&upstream, &request.facts, now);
        let mut request = request.moved(upstream, attempt, now);
        self.start_prompt(now, &mut request);
        request.stage.waiting = self.waiting_before(&request);
        self.push_send(now, &mut request, Some(broken), actions);
        self.requests.insert(request.id, Stage::Running(request));
        None
    }
}
