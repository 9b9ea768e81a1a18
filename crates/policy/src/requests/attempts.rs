//! Progress and end of an attempt. When an attempt ends, its request is completed, retried or
//! refused, or its stream is resumed.

use super::*;

/// Number of attempts of a relayed request that may end without running the request, because the
/// upstreams reject it or are unreachable. The request is refused then, as another upstream is
/// unlikely to do better.
const MAX_NOT_RUN_ATTEMPTS: usize = 4;

impl Controller {
    pub(crate) fn on_progress(
        &mut self,
        now: Time,
        id: RequestId,
        attempt: AttemptId,
        longest_pause: Duration,
        tokens: Tokens,
        actions: &mut Vec<Action>,
    ) {
        let Some(Stage::Running(request)) = self.requests.get_mut(&id) else {
            return;
        };
        if request.stage.attempt != attempt {
            return;
        }
        let span = now.since(request.stage.last_progress);
        let is_first_token = request.stage.tokens.get() == 0;
        request.record_tokens(now, tokens);
        request.longest_pause = longest_pause;
        let upstream = request.stage.upstream.clone();
        let sent = request.stage.sent;
        let time_to_first_token = now.since(sent);
        let target = request.facts.target.clone();
        let tokens_ahead = request.stage.prompt_tokens_ahead;
        let unshared_tokens = request.unshared_prompt_tokens();
        let is_fetched = request.stage.fetch.is_some();
        let class = request.facts.class.clone();
        let prefill = std::mem::take(&mut request.stage.prefill);
        // Also true when a stream that was moved continues on another upstream.
        let is_first_on_upstream = !std::mem::replace(&mut request.stage.is_streaming, true);
        request.stage.began.get_or_insert(now);
        let is_rendezvous = request.stage.is_rendezvous;
        let is_direct = request.stage.is_direct;
        let read_parts = is_first_on_upstream.then(|| request.facts.parts.clone());
        // A keeper that missed the report of a later attempt knows the version of an earlier one.
        let retried_version = request.stream_version().filter(|_| request.attempts > 1);
        let team = request.take_uncounted_team();
        self.count_started(now, now, team);
        if let Some(parts) = read_parts {
            self.note_prompt_prefilled(&upstream, &parts, is_rendezvous);
        }
        self.pool.note_responsive(&upstream, now);
        self.note_path_answered(now, &upstream, is_direct);
        if let Some(state) = self.pool.get_mut(&upstream) {
            state.end_prefill(prefill);
            if is_first_on_upstream && !is_fetched {
                state.speed.record_first_token(
                    unshared_tokens,
                    tokens_ahead,
                    time_to_first_token,
                    now,
                );
            }
            state.streams += u32::from(is_first_on_upstream);
            state.backoff.note_accepted(sent);
        }
        if let Some(version) = retried_version.filter(|_| is_first_token) {
            self.report_stream(now, version, actions);
        }
        if !is_first_token {
            if let Some(state) = self.pool.get_mut(&upstream) {
                state.note_tokens(tokens, span);
            }
            return;
        }
        self.crashes.note_alive(&upstream, sent);
        self.note_congestion(&target, false);
        self.note_first_token(now, &target, &class, time_to_first_token);
        if let Some(queues) = self.target_queues.get_mut(&target) {
            queues.note_time_to_first_token(time_to_first_token);
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
                response,
                longest_pause,
                tokens,
            } => {
                request.add_tokens(now, tokens);
                request.longest_pause = longest_pause;
                self.on_completed(now, request, response, actions);
            }
            AttemptEnd::Failed {
                cause,
                delivered,
                tokens,
                verdict,
            } => {
                request.add_tokens(now, tokens);
                let failure = AttemptFailure {
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
        response: Option<StoredResponse>,
        actions: &mut Vec<Action>,
    ) {
        self.count_answered(now, &mut request);
        if !request.stage.is_streaming {
            let stage = &request.stage;
            self.note_prompt_prefilled(&stage.upstream, &request.facts.parts, stage.is_rendezvous);
        }
        self.note_answer_end(now, &request);
        self.release_slot(now, &request);
        self.pool.note_responsive(&request.stage.upstream, now);
        self.note_path_answered(now, &request.stage.upstream, request.stage.is_direct);
        if let Some(state) = self.pool.get_mut(&request.stage.upstream) {
            state.note_success(now.since(request.stage.sent), now);
            state.backoff.note_accepted(request.stage.sent);
        }
        let facts = &request.facts;
        self.crashes
            .note_alive(&request.stage.upstream, request.stage.sent);
        self.crashes.note_completion(&facts.crash_subjects, now);
        if let Some(queues) = self.target_queues.get_mut(&facts.target) {
            let span = now.since(request.stage.sent);
            queues.service_rate.note_answer(request.item.cost, span);
        }
        if request.stage.resume_count == 0 {
            let duration = now.since(request.stage.sent);
            self.drain
                .note_duration(&facts.target, &facts.class, duration);
        }
        self.team_limits.release(&facts.team);
        self.length_estimate
            .note(&facts.class, &facts.team, request.tokens);
        if let Some(attempt) = request.claimed_by {
            push_settlement(&request, attempt, Verdict::Ran, response, actions);
        }
        let upstream = Some(request.stage.upstream.clone());
        let outcome = request.outcome(OutcomeEnd::Finished, Verdict::Ran, upstream, now);
        actions.push(Action::Record(outcome));
    }

    fn on_failed(
        &mut self,
        now: Time,
        mut request: Request<Running>,
        failure: &AttemptFailure,
        actions: &mut Vec<Action>,
    ) {
        request.verdict = request.verdict.join(failure.verdict);
        request.possible_runs += u32::from(failure.verdict != Verdict::NotRun);
        self.count_failed(now, &mut request, failure);
        self.note_unfinished(now, &request);
        let is_path_failure =
            failure.cause.is_connection_loss() && self.is_path_lost(&request.stage);
        let says_nothing = is_path_failure
            || self.was_abandoned_as_barred(now, &request)
            || self.was_abandoned_by_drain(now, &request);
        if !says_nothing {
            self.record_attempt_failure(now, &request, failure.cause);
        }
        if failure.cause == FailureCause::Busy {
            self.note_rejected(now, &request.stage.upstream, actions);
            self.note_congestion(&request.facts.target, true);
        } else {
            request
                .failed_upstreams
                .push(request.stage.upstream.clone());
        }
        match failure.cause {
            FailureCause::WrongInstance => {
                self.note_upstream_ended(now, &request.stage.upstream, actions);
            }
            FailureCause::Reset | FailureCause::Silent | FailureCause::Truncated
                if !says_nothing =>
            {
                self.note_connection_broken(now, &request, actions);
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
        self.release_slot(now, &request);
        if self.may_retry(now, &request, failure) {
            let tokens = request.stage.tokens;
            request.add_wasted_tokens(WasteCause::Repeated, tokens);
            request.tokens = Tokens::default();
            request.first_token = None;
            self.enqueue(now, request.requeue());
            return;
        }
        let tokens = request.stage.tokens;
        request.add_wasted_tokens(WasteCause::CutOff, tokens);
        self.team_limits.release(&request.facts.team);
        self.refuse_failed(now, request, actions);
    }

    fn record_attempt_failure(
        &mut self,
        now: Time,
        request: &Request<Running>,
        cause: FailureCause,
    ) {
        let upstream = &request.stage.upstream;
        if let Some(state) = self.pool.get_mut(upstream) {
            state.track_record.note_failure(now);
            if cause == FailureCause::ErrorStatus {
                state.backoff.note_accepted(request.stage.sent);
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

    /// Whether a failed request is sent again. A request that may have run, in this attempt or an
    /// earlier one, is sent again only if it is idempotent.
    fn may_retry(
        &mut self,
        now: Time,
        request: &Request<Running>,
        failure: &AttemptFailure,
    ) -> bool {
        let facts = &request.facts;
        if failure.cause == FailureCause::Busy
            && self.is_congestion_limited(&facts.target, &facts.class)
        {
            return false;
        }
        let is_safe_to_retry = facts.idempotent || request.verdict == Verdict::NotRun;
        if !is_safe_to_retry || self.is_barred(now, facts) || now > facts.deadline {
            return false;
        }
        let target = &request.facts.target;
        let priority = request.facts.engine_priority;
        if self.options.relay.is_some() && failure.verdict == Verdict::NotRun {
            // A request that was never sent adds no load, so it takes nothing from the budget.
            let is_unsent = failure.cause == FailureCause::Connect;
            let has_tries_left = request.tried.len() < MAX_NOT_RUN_ATTEMPTS;
            return has_tries_left
                && (is_unsent || self.retry_budgets.take_retry(target, priority, now));
        }
        if failure.cause == FailureCause::Busy {
            return true;
        }
        self.has_attempts_left(request) && self.retry_budgets.take_retry(target, priority, now)
    }

    /// Whether the class allows another attempt after the one that has just failed. If relay rules
    /// are set, only attempts in which the request may have run count towards the limit of the
    /// class; the number of other attempts is limited by [`MAX_NOT_RUN_ATTEMPTS`].
    pub(crate) fn has_attempts_left(&self, request: &Request<Running>) -> bool {
        let attempts_made = request.tried.len() as u32 + 1;
        if self.options.relay.is_none() {
            return attempts_made < request.facts.max_attempts;
        }
        let not_run = attempts_made - request.possible_runs.min(attempts_made);
        request.possible_runs < request.facts.max_attempts && not_run <= MAX_NOT_RUN_ATTEMPTS as u32
    }

    /// Releases the slot of a request at its upstream, and updates the prompts that the upstream is
    /// expected to cache and to prefill.
    pub(crate) fn release_slot(&mut self, now: Time, request: &Request<Running>) {
        if !request.stage.is_streaming {
            self.note_prompt_not_prefilled(&request.stage.upstream, &request.facts.parts);
        }
        if let Some(state) = self.pool.get_mut(&request.stage.upstream) {
            state.end_prefill(request.stage.prefill);
            let streams = u32::from(request.stage.is_streaming);
            state.streams = state.streams.saturating_sub(streams);
        }
        self.pool
            .end_request(&request.stage.upstream, &request.facts, now);
    }
}

impl Request<Running> {
    /// Prompt tokens that the engine has to prefill in any case: those of the last part, which
    /// belongs to this request or its session alone. Returns 0 if even this part is expected to be
    /// cached.
    fn unshared_prompt_tokens(&self) -> Tokens {
        let last = self.facts.parts.last().map(|part| part.tokens);
        let last = last.filter(|last| *last <= self.stage.prefill);
        last.unwrap_or_default()
    }

    /// Counts tokens of a progress event, and records the time of the first token.
    fn record_tokens(&mut self, now: Time, tokens: Tokens) {
        if self.first_token.is_none() {
            self.first_token = Some(now.since(self.facts.arrived));
        }
        self.add_tokens(now, tokens);
    }

    /// Counts tokens without recording the time of the first token: the end of a response that
    /// arrives all at once does not tell when its first token was produced.
    fn add_tokens(&mut self, now: Time, tokens: Tokens) {
        self.stage.last_progress = now;
        self.stage.tokens = Tokens::new(self.stage.tokens.get() + tokens.get());
        self.tokens = Tokens::new(self.tokens.get() + tokens.get());
    }
}
