//! What follows from the progress and the end of an attempt: completion, a retry,
//! or the end of the request.

use super::*;

/// Upstreams that may refuse a relayed request, or be out of reach, before it
/// is refused: by then the next one would hardly be better.
const MAX_NOT_RUN: usize = 4;

impl Controller {
    pub(crate) fn on_progress(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptId,
        longest_pause: Duration,
        tokens: Tokens,
    ) {
        let Some(Stage::Running(request)) = self.requests.get_mut(&id) else {
            return;
        };
        if request.stage.attempt != attempt {
            return;
        }
        let span = now.since(request.stage.last_progress);
        let is_first = request.stage.tokens.get() == 0;
        request.note_tokens(now, tokens);
        request.longest_pause = longest_pause;
        let upstream = request.stage.upstream.clone();
        let sent = request.stage.sent;
        let lead = now.since(sent);
        let target = request.facts.target.clone();
        let waiting = request.stage.waiting;
        let unread = request.surely_unread();
        let is_fetched = request.stage.fetch.is_some();
        let class = request.facts.class.clone();
        let prefill = std::mem::take(&mut request.stage.prefill);
        let begins = !std::mem::replace(&mut request.stage.streams, true);
        let is_rendezvous = request.stage.is_rendezvous;
        let is_direct = request.stage.is_direct;
        let read = begins.then(|| request.facts.parts.clone());
        let team = request.take_uncounted();
        self.note_begun(now, now, team);
        if let Some(parts) = read {
            self.note_prompt_read(&upstream, &parts, is_rendezvous);
        }
        self.pool.note_responsive(&upstream, now);
        self.note_path_answered(now, &upstream, is_direct);
        if let Some(state) = self.pool.get_mut(&upstream) {
            state.end_prefill(prefill);
            if begins && !is_fetched {
                state.speed.note_lead(unread, waiting, lead, now);
            }
            state.streams += u32::from(begins);
            state.backoff.note_taken(sent);
        }
        if !is_first {
            if let Some(state) = self.pool.get_mut(&upstream) {
                state.note_tokens(tokens, span);
            }
            return;
        }
        self.crashes.note_alive(&upstream, sent);
        self.note_congestion(&target, false);
        self.note_first_token(now, &target, &class, lead);
        if let Some(lane) = self.lanes.get_mut(&target) {
            lane.note_lead(lead);
        }
    }

    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptId,
        end: AttemptEnd,
        actions: &mut Vec<Action>,
    ) {
        let mut request = match self.requests.remove(&id) {
            Some(Stage::Running(request)) if request.stage.attempt == attempt => request,
            Some(other) => {
                self.requests.insert(id, other);
                return;
            }
            None => return,
        };
        match end {
            AttemptEnd::Completed {
                answer,
                longest_pause,
                tokens,
            } => {
                request.note_rest(now, tokens);
                request.longest_pause = longest_pause;
                self.on_completed(now, request, answer, actions);
            }
            AttemptEnd::Failed {
                cause,
                delivered,
                tokens,
                verdict,
            } => {
                request.note_rest(now, tokens);
                let failure = Failure {
                    cause,
                    delivered,
                    verdict,
                };
                self.on_failed(now, request, &failure, actions);
            }
        }
    }

    fn on_completed(
        &mut self,
        now: Time,
        mut request: Request<Running>,
        answer: Option<StoredAnswer>,
        actions: &mut Vec<Action>,
    ) {
        self.note_answered(now, &mut request);
        if !request.stage.streams {
            let stage = &request.stage;
            self.note_prompt_read(&stage.upstream, &request.facts.parts, stage.is_rendezvous);
        }
        self.note_answer_end(now, &request);
        self.leave_upstream(now, &request);
        self.pool.note_responsive(&request.stage.upstream, now);
        self.note_path_answered(now, &request.stage.upstream, request.stage.is_direct);
        if let Some(state) = self.pool.get_mut(&request.stage.upstream) {
            state.note_success(now.since(request.stage.sent), now);
            state.backoff.note_taken(request.stage.sent);
        }
        let facts = &request.facts;
        self.crashes
            .note_alive(&request.stage.upstream, request.stage.sent);
        self.crashes.note_finished(&facts.fingerprint, now);
        if let Some(lane) = self.lanes.get_mut(&facts.target) {
            let span = now.since(request.stage.sent);
            lane.rate.note_answer(request.item.cost, span);
        }
        self.limits.release(&facts.team);
        self.length.note(&facts.class, &facts.team, request.tokens);
        if let Some(attempt) = request.claimed_by {
            settle(&request, attempt, Verdict::Ran, answer, actions);
        }
        let upstream = Some(request.stage.upstream.clone());
        let outcome = request.outcome(OutcomeEnd::Finished, Verdict::Ran, upstream, now);
        actions.push(Action::Record(outcome));
    }

    fn on_failed(
        &mut self,
        now: Time,
        mut request: Request<Running>,
        failure: &Failure,
        actions: &mut Vec<Action>,
    ) {
        request.verdict = request.verdict.join(failure.verdict);
        request.runs += u32::from(failure.verdict != Verdict::NotRun);
        self.note_failed_begun(now, &mut request, failure);
        self.note_unfinished(now, &request);
        let is_own_fault = failure.cause.is_of_connection() && self.is_path_lost(&request.stage);
        if !is_own_fault {
            self.note_failure(now, &request, failure.cause);
        }
        if failure.cause == FailureCause::Busy {
            self.note_rejected(now, &request.stage.upstream, actions);
            self.note_congestion(&request.facts.target, true);
        } else {
            request.broken.push(request.stage.upstream.clone());
        }
        match failure.cause {
            FailureCause::WrongInstance => {
                self.note_ended(now, &request.stage.upstream, actions);
            }
            FailureCause::Reset | FailureCause::Silent | FailureCause::Truncated
                if !is_own_fault =>
            {
                self.note_broken(now, &request, actions);
            }
            FailureCause::Busy
            | FailureCause::Connect
            | FailureCause::ErrorStatus
            | FailureCause::Reset
            | FailureCause::Silent
            | FailureCause::TimedOut
            | FailureCause::Truncated => {}
        }
        if failure.delivered || request.first_token.is_some() {
            self.resume_or_break(now, request, failure, actions);
            return;
        }
        self.leave_upstream(now, &request);
        if self.may_retry(now, &request, failure) {
            let tokens = request.stage.tokens;
            request.waste(WasteCause::Repeated, tokens);
            request.tokens = Tokens::default();
            request.first_token = None;
            self.enqueue(now, request.requeue());
            return;
        }
        let tokens = request.stage.tokens;
        request.waste(WasteCause::CutOff, tokens);
        self.limits.release(&request.facts.team);
        self.refuse_failed(now, request, actions);
    }

    fn note_failure(&mut self, now: Time, request: &Request<Running>, cause: FailureCause) {
        let upstream = &request.stage.upstream;
        if let Some(state) = self.pool.get_mut(upstream) {
            state.track_record.note_failure(now);
            if cause == FailureCause::ErrorStatus {
                state.backoff.note_taken(request.stage.sent);
            }
        }
        match cause {
            FailureCause::Connect => self.pool.note_unreachable(upstream),
            FailureCause::Busy | FailureCause::ErrorStatus | FailureCause::WrongInstance => {
                self.pool.note_responsive(upstream, now);
            }
            FailureCause::Reset
            | FailureCause::Silent
            | FailureCause::TimedOut
            | FailureCause::Truncated => {}
        }
        if cause.counts_against_health() {
            self.pool.note_failure(upstream, &request.facts.target, now);
            return;
        }
        if let Some(state) = self.pool.get_mut(upstream) {
            state.backoff.note_refused(now);
        }
    }

    /// A request that may have run, on this attempt or an earlier one, is sent
    /// again only if running twice does no harm.
    fn may_retry(&mut self, now: Time, request: &Request<Running>, failure: &Failure) -> bool {
        let facts = &request.facts;
        if failure.cause == FailureCause::Busy && self.yields(&facts.target, &facts.class) {
            return false;
        }
        let harmless = facts.idempotent || request.verdict == Verdict::NotRun;
        if !harmless || self.is_barred(now, facts) || now > facts.deadline {
            return false;
        }
        let target = &request.facts.target;
        let priority = request.facts.engine_priority;
        if self.options.relay.is_some() && failure.verdict == Verdict::NotRun {
            // One that never left is no load either.
            let unsent = failure.cause == FailureCause::Connect;
            let few = request.tried.len() < MAX_NOT_RUN;
            return few && (unsent || self.retries.take(target, priority, now));
        }
        if failure.cause == FailureCause::Busy {
            return true;
        }
        self.has_attempts_left(request) && self.retries.take(target, priority, now)
    }

    /// Whether the class allows one more attempt, after the one that has just
    /// failed. In an installation only attempts on which the request may have run
    /// count; of the others there may be [`MAX_NOT_RUN`].
    pub(crate) fn has_attempts_left(&self, request: &Request<Running>) -> bool {
        let made = request.tried.len() as u32 + 1;
        if self.options.relay.is_none() {
            return made < request.facts.max_attempts;
        }
        let unsent = made - request.runs.min(made);
        request.runs < request.facts.max_attempts && unsent <= MAX_NOT_RUN as u32
    }

    /// Gives the slot back.
    pub(crate) fn leave_upstream(&mut self, now: Time, request: &Request<Running>) {
        if !request.stage.streams {
            self.note_prompt_unread(&request.stage.upstream, &request.facts.parts);
        }
        if let Some(state) = self.pool.get_mut(&request.stage.upstream) {
            state.end_prefill(request.stage.prefill);
            let streams = u32::from(request.stage.streams);
            state.streams = state.streams.saturating_sub(streams);
        }
        self.pool
            .end_request(&request.stage.upstream, &request.facts, now);
    }
}

impl Request<Running> {
    /// Prompt tokens that the engine has to read in any case: those of the part that no other request
    /// has.
    fn surely_unread(&self) -> Tokens {
        let own = self.facts.parts.last().map(|part| part.tokens);
        let own = own.filter(|own| *own <= self.stage.prefill);
        own.unwrap_or_default()
    }

    fn note_tokens(&mut self, now: Time, tokens: Tokens) {
        if self.first_token.is_none() {
            self.first_token = Some(now.since(self.facts.arrived));
        }
        self.note_rest(now, tokens);
    }

    /// Counts tokens without taking them as a sign of the first one: the end
    /// of an answer that came as a whole says nothing of its first token.
    fn note_rest(&mut self, now: Time, tokens: Tokens) {
        self.stage.last_progress = now;
        self.stage.tokens = Tokens::new(self.stage.tokens.get() + tokens.get());
        self.tokens = Tokens::new(self.tokens.get() + tokens.get());
    }
}
