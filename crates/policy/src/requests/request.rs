use super::*;

/// What is fixed about a request once it is admitted.
#[derive(Clone, Debug)]
pub(crate) struct RequestFacts {
    pub(crate) arrived: Time,
    pub(crate) between_token_target_ms: u64,
    pub(crate) class: ClassId,
    /// Last moment for an attempt to start.
    pub(crate) deadline: Time,
    /// When the first token is due.
    pub(crate) due: Time,
    /// What makes it the same as another request of its team.
    pub(crate) fingerprint: Fingerprint,
    /// Its priority at an engine, 0 the most urgent.
    pub(crate) engine_priority: u8,
    pub(crate) first_token_target_ms: u64,
    pub(crate) idempotent: bool,
    /// Whether its prompt was long among those seen when it came.
    pub(crate) is_long: bool,
    /// Most upstreams that it may be sent to.
    pub(crate) max_attempts: u32,
    /// Whether long prompts beside it can make it late: no class has a shorter
    /// target for pauses.
    pub(crate) pause_bound: bool,
    /// Longest pause with which the answer is still on time.
    pub(crate) pause_target: Option<Duration>,
    /// Parts of its prompt in order.
    pub(crate) parts: Vec<PromptPart>,
    /// Idempotency key to be claimed before anything is sent, and the fingerprint that is
    /// kept with it.
    pub(crate) key: Option<(IdempotencyKey, Fingerprint)>,
    pub(crate) prefix: Option<PrefixHash>,
    /// Whether it came without a key, on a route that needs none.
    pub(crate) public: bool,
    pub(crate) rank: Rank,
    /// Whether a broken stream may go on at another upstream.
    pub(crate) resumable: bool,
    pub(crate) target: Target,
    pub(crate) team: TeamId,
}

impl RequestFacts {
    /// What the request asks of an upstream, sent with the room of `rank`.
    pub(crate) fn placement<'a>(
        &'a self,
        avoid: &'a [UpstreamId],
        pace_ms: Option<u64>,
        rank: Rank,
        stream_share: f64,
        candidates: Option<usize>,
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            avoid,
            max_candidates: candidates,
            first_token_due: self.due,
            has_long_prompt: self.is_long,
            between_token_target_ms: pace_ms,
            parts: &self.parts,
            is_pause_sensitive: self.pause_bound,
            prefix: self.prefix,
            rank,
            stream_share,
            target: &self.target,
        }
    }
}

/// A request in one stage of its life. A stage is left by a method that takes
/// the request and returns the next stage, so no request is in two at once.
#[derive(Clone, Debug)]
pub(crate) struct Request<S> {
    pub(crate) attempts: u32,
    /// Upstreams that broke it, rather than refused it: nothing is fetched from them for it.
    pub(crate) broken: Vec<UpstreamId>,
    /// Attempt that holds the claim of the idempotency key.
    pub(crate) claimed_by: Option<AttemptId>,
    pub(crate) facts: RequestFacts,
    /// Time from arrival to the first token.
    pub(crate) first_token: Option<Duration>,
    pub(crate) id: RequestId,
    /// Whether it was counted as begun.
    pub(crate) is_counted: bool,
    pub(crate) item: QueuedItem,
    /// Longest time between two parts of the answer that the caller was sent.
    pub(crate) longest_pause: Duration,
    /// Ended attempts on which it may have run.
    pub(crate) runs: u32,
    pub(crate) stage: S,
    /// Tokens delivered to the caller.
    pub(crate) tokens: Tokens,
    pub(crate) tried: Vec<UpstreamId>,
    /// Join of the verdicts of its attempts so far.
    pub(crate) verdict: Verdict,
    pub(crate) wasted: Option<(WasteCause, Tokens)>,
}

/// Waits for a slot.
#[derive(Clone, Debug)]
pub(crate) struct Queued {
    /// Put aside while the store is down; not in its queue.
    pub(crate) parked: bool,
}

/// Has a slot, and waits for the table to grant its idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct Claiming {
    pub(crate) attempt: AttemptId,
    pub(crate) caller_gone: bool,
    pub(crate) priority: u8,
    pub(crate) upstream: UpstreamId,
}

/// Is on its way to an upstream or runs there.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) attempt: AttemptId,
    /// What is fetched of its prompt.
    pub(crate) fetch: Option<PromptFetch>,
    /// Whether the attempt is given up, and its end not reported yet.
    pub(crate) is_abandoned: bool,
    /// Whether it was sent over a path of this host's own, as far as is known.
    pub(crate) is_direct: bool,
    /// Whether it is the engine at which hosts look for its shared parts.
    pub(crate) is_rendezvous: bool,
    /// When tokens came last, or when it was sent.
    pub(crate) last_progress: Time,
    /// Prompt tokens that the engine is believed to read for it before its
    /// first token.
    pub(crate) prefill: Tokens,
    pub(crate) priority: u8,
    pub(crate) resumes: u32,
    pub(crate) sent: Time,
    /// Whether this attempt has brought tokens, and counts as a stream of its
    /// upstream.
    pub(crate) streams: bool,
    /// Tokens of this attempt.
    pub(crate) tokens: Tokens,
    pub(crate) upstream: UpstreamId,
    /// Prompt tokens that were known to wait there before its own.
    pub(crate) waiting: u64,
}

/// A request in any stage.
#[derive(Clone, Debug)]
pub(crate) enum Stage {
    Claiming(Request<Claiming>),
    Queued(Request<Queued>),
    Running(Request<Running>),
}

impl Stage {
    pub(crate) const fn facts(&self) -> &RequestFacts {
        match self {
            Self::Claiming(request) => &request.facts,
            Self::Queued(request) => &request.facts,
            Self::Running(request) => &request.facts,
        }
    }
}

impl Running {
    fn new(upstream: UpstreamId, attempt: AttemptId, priority: u8, now: Time) -> Self {
        Self {
            attempt,
            fetch: None,
            is_abandoned: false,
            is_direct: false,
            is_rendezvous: false,
            last_progress: now,
            prefill: Tokens::default(),
            priority,
            resumes: 0,
            sent: now,
            streams: false,
            tokens: Tokens::default(),
            upstream,
            waiting: 0,
        }
    }
}

impl Request<Queued> {
    pub(crate) fn new(id: RequestId, facts: RequestFacts, item: QueuedItem) -> Self {
        Self {
            attempts: 0,
            broken: Vec::new(),
            claimed_by: None,
            facts,
            first_token: None,
            id,
            is_counted: false,
            item,
            longest_pause: Duration::ZERO,
            runs: 0,
            stage: Queued { parked: false },
            tokens: Tokens::default(),
            tried: Vec::new(),
            verdict: Verdict::NotRun,
            wasted: None,
        }
    }

    pub(crate) fn claim(
        self,
        upstream: UpstreamId,
        attempt: AttemptId,
        priority: u8,
    ) -> Request<Claiming> {
        self.with_stage(Claiming {
            attempt,
            caller_gone: false,
            priority,
            upstream,
        })
    }

    pub(crate) fn send(
        self,
        upstream: UpstreamId,
        attempt: AttemptId,
        priority: u8,
        now: Time,
    ) -> Request<Running> {
        self.with_stage(Running::new(upstream, attempt, priority, now))
    }
}

impl Request<Claiming> {
    /// Aside, until the store may answer again.
    pub(crate) fn park(self) -> Request<Queued> {
        self.with_stage(Queued { parked: true })
    }

    pub(crate) fn granted(mut self, now: Time) -> Request<Running> {
        let Claiming {
            attempt,
            priority,
            upstream,
            ..
        } = self.stage.clone();
        self.claimed_by = Some(attempt);
        self.with_stage(Running::new(upstream, attempt, priority, now))
    }
}

impl Request<Running> {
    /// On to another upstream, to go on after the last event.
    pub(crate) fn moved(
        mut self,
        upstream: UpstreamId,
        attempt: AttemptId,
        now: Time,
    ) -> Request<Running> {
        let left = std::mem::replace(&mut self.stage.upstream, upstream);
        self.tried.push(left);
        self.attempts += 1;
        self.stage.attempt = attempt;
        self.stage.is_abandoned = false;
        self.stage.last_progress = now;
        self.stage.resumes += 1;
        self.stage.sent = now;
        self.stage.streams = false;
        self
    }

    /// When its first token came, if one came.
    pub(crate) fn began(&self) -> Option<Time> {
        Some(self.facts.arrived + self.first_token?)
    }

    /// The team for which the request is to be counted as begun; `None` if it was before, or
    /// has no team.
    pub(crate) fn take_uncounted(&mut self) -> Option<TeamId> {
        let is_counted = std::mem::replace(&mut self.is_counted, true);
        (!is_counted && !self.facts.public).then(|| self.facts.team.clone())
    }

    /// Back to the queue, for another attempt.
    pub(crate) fn requeue(mut self) -> Request<Queued> {
        self.tried.push(self.stage.upstream.clone());
        self.with_stage(Queued { parked: false })
    }
}

impl<S> Request<S> {
    fn with_stage<T>(self, stage: T) -> Request<T> {
        Request {
            attempts: self.attempts,
            broken: self.broken,
            claimed_by: self.claimed_by,
            facts: self.facts,
            first_token: self.first_token,
            id: self.id,
            is_counted: self.is_counted,
            item: self.item,
            longest_pause: self.longest_pause,
            runs: self.runs,
            stage,
            tokens: self.tokens,
            tried: self.tried,
            verdict: self.verdict,
            wasted: self.wasted,
        }
    }

    /// Counts tokens that were computed in vain.
    pub(crate) fn waste(&mut self, cause: WasteCause, tokens: Tokens) {
        if tokens.get() == 0 {
            return;
        }
        let before = self.wasted.map_or(0, |(_, tokens)| tokens.get());
        self.wasted = Some((cause, Tokens::new(before + tokens.get())));
    }

    /// Whether the first token, the pace and the longest pause met the class's
    /// targets. An answer that came as a whole has the time of the first two together.
    pub(crate) fn met_target(&self, now: Time) -> bool {
        let target = self.facts.pause_target;
        if target.is_some_and(|target| self.longest_pause > target) {
            return false;
        }
        let first = Duration::from_millis(self.facts.first_token_target_ms);
        let gaps = self.tokens.get().saturating_sub(1);
        let rest = Duration::from_millis(self.facts.between_token_target_ms) * gaps;
        let total = now.since(self.facts.arrived);
        match self.first_token {
            Some(first_token) => first_token <= first && (gaps == 0 || total - first_token <= rest),
            None => total <= first + rest,
        }
    }

    pub(crate) fn outcome(
        &self,
        end: OutcomeEnd,
        verdict: Verdict,
        upstream: Option<UpstreamId>,
        now: Time,
    ) -> Outcome {
        Outcome {
            attempts: self.attempts,
            class: Some(self.facts.class.clone()),
            end,
            expected: None,
            first_token: self.first_token,
            lasted: now.since(self.facts.arrived),
            limit: Some(self.facts.deadline.since(self.facts.arrived)),
            longest_pause: self.longest_pause,
            met_target: end == OutcomeEnd::Finished && self.met_target(now),
            reason: None,
            request: self.id,
            team: Some(self.facts.team.clone()),
            tier: Some(self.facts.rank.tier),
            tokens: self.tokens,
            upstream,
            verdict,
            wasted: self.wasted,
        }
    }
}
