use super::*;

/// Properties of a request that do not change after its admission.
#[derive(Clone, Debug)]
pub(crate) struct RequestFacts {
    pub(crate) arrived: Time,
    pub(crate) between_token_target_ms: u64,
    pub(crate) class: ClassId,
    /// Features by which crashes of upstreams are counted.
    pub(crate) crash_subjects: Vec<CrashSubject>,
    /// Time after which no attempt may start.
    pub(crate) deadline: Time,
    /// Time by which the first token is due.
    pub(crate) due: Time,
    /// Identifies identical requests of the same team.
    pub(crate) fingerprint: Fingerprint,
    /// Priority that is passed to the engine; 0 is the most urgent.
    pub(crate) engine_priority: u8,
    pub(crate) first_token_target_ms: u64,
    pub(crate) idempotent: bool,
    /// Whether the prompt was long compared to other recent prompts when the request arrived.
    pub(crate) is_long: bool,
    /// Maximum number of attempts. If relay rules are set, only attempts in which the request may
    /// have run count.
    pub(crate) max_attempts: u32,
    /// Whether the class has the shortest pause target of all classes, so that prefills of long
    /// prompts on the same engine can make the stream miss this target.
    pub(crate) pause_bound: bool,
    /// Longest pause between two parts of the response that still meets the target of the class.
    pub(crate) pause_target: Option<Duration>,
    /// Parts of the prompt, in order.
    pub(crate) parts: Vec<PromptPart>,
    /// Idempotency key that must be claimed before the request is sent, and the fingerprint that
    /// is stored with the key.
    pub(crate) key: Option<(IdempotencyKey, Fingerprint)>,
    pub(crate) prefix: Option<PrefixHash>,
    /// Software versions that may run the first attempt and its repetitions.
    pub(crate) version_bound: VersionBound,
    /// Whether the request arrived on a route that needs no bearer key.
    pub(crate) public: bool,
    pub(crate) rank: Rank,
    /// Whether an interrupted stream may be resumed on another upstream.
    pub(crate) resumable: bool,
    /// Stream that the caller takes up with the request.
    pub(crate) resumed_stream: Option<StreamId>,
    /// Stream that the response belongs to, for a relayed request.
    pub(crate) stream: Option<StreamId>,
    pub(crate) target: Target,
    pub(crate) team: TeamId,
}

impl RequestFacts {
    /// Builds the placement request. `rank` determines how much of the upstream headroom the
    /// request may use.
    pub(crate) fn placement<'a>(
        &'a self,
        avoid: &'a [UpstreamId],
        version_bound: &'a VersionBound,
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
            version_bound,
        }
    }
}

/// A request in stage `S`. Methods that change the stage consume the request and return it in the
/// next stage, so a request cannot be in two stages at once.
#[derive(Clone, Debug)]
pub(crate) struct Request<S> {
    /// Number of attempts so far.
    pub(crate) attempts: u32,
    /// Upstreams on which an attempt failed for another reason than a busy upstream. No parts of
    /// the prompt are fetched from them.
    pub(crate) failed_upstreams: Vec<UpstreamId>,
    /// Attempt that holds the claim of the idempotency key.
    pub(crate) claimed_by: Option<AttemptId>,
    pub(crate) facts: RequestFacts,
    /// Time from arrival to the first token.
    pub(crate) first_token: Option<Duration>,
    pub(crate) id: RequestId,
    /// Whether the request has been counted in the usage of its team.
    pub(crate) is_usage_counted: bool,
    pub(crate) item: QueuedItem,
    /// Longest pause between two parts of the response sent to the caller.
    pub(crate) longest_pause: Duration,
    /// Number of failed attempts in which the request may have run.
    pub(crate) possible_runs: u32,
    pub(crate) stage: S,
    /// Tokens delivered to the caller.
    pub(crate) tokens: Tokens,
    /// Upstreams of earlier attempts.
    pub(crate) tried: Vec<UpstreamId>,
    /// Combined verdict of all attempts so far.
    pub(crate) verdict: Verdict,
    /// Number of computed tokens that were wasted, and the latest cause.
    pub(crate) wasted: Option<(WasteCause, Tokens)>,
}

/// Stage of a request that waits for a slot at an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Queued {
    /// Whether the request is parked because its claim failed or the upstreams of its software
    /// version are full. A parked request is not in its queue.
    pub(crate) parked: bool,
}

/// Stage of a request that has a slot and waits for the claim of its idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct Claiming {
    pub(crate) attempt: AttemptId,
    /// Whether the caller has disconnected.
    pub(crate) caller_gone: bool,
    pub(crate) priority: u8,
    pub(crate) upstream: UpstreamId,
}

/// Stage of a request that has been sent to an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) attempt: AttemptId,
    /// Parts of the prompt that the engine fetches from another engine.
    pub(crate) fetch: Option<PromptFetch>,
    /// When this attempt produced its first tokens.
    pub(crate) began: Option<Time>,
    /// Whether the attempt has been abandoned and its end has not been reported yet.
    pub(crate) is_abandoned: bool,
    /// Whether the request was, as far as known, sent directly and not through another host.
    pub(crate) is_direct: bool,
    /// Whether the upstream is the rendezvous engine of the prompt: the engine on which all hosts
    /// expect the shared parts to be cached.
    pub(crate) is_rendezvous: bool,
    /// When tokens were last received, or when the attempt was sent.
    pub(crate) last_progress: Time,
    /// Prompt tokens that the engine is expected to prefill before the first token; 0 after the
    /// first token.
    pub(crate) prefill: Tokens,
    pub(crate) priority: u8,
    /// Number of times that the stream has been resumed.
    pub(crate) resume_count: u32,
    pub(crate) sent: Time,
    /// Software version of the upstream.
    pub(crate) software_version: Option<SoftwareVersion>,
    /// Whether this attempt has produced tokens, so that it counts as a stream of the upstream.
    pub(crate) is_streaming: bool,
    /// Tokens received in this attempt and in the interrupted attempts that it resumes.
    pub(crate) tokens: Tokens,
    pub(crate) upstream: UpstreamId,
    /// Prompt tokens that were known to wait at the upstream ahead of this request.
    pub(crate) prompt_tokens_ahead: u64,
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
            began: None,
            fetch: None,
            is_abandoned: false,
            is_direct: false,
            is_rendezvous: false,
            last_progress: now,
            prefill: Tokens::default(),
            priority,
            resume_count: 0,
            sent: now,
            software_version: None,
            is_streaming: false,
            tokens: Tokens::default(),
            upstream,
            prompt_tokens_ahead: 0,
        }
    }
}

impl Request<Queued> {
    pub(crate) fn new(id: RequestId, facts: RequestFacts, item: QueuedItem) -> Self {
        Self {
            attempts: 0,
            failed_upstreams: Vec::new(),
            claimed_by: None,
            facts,
            first_token: None,
            id,
            is_usage_counted: false,
            item,
            longest_pause: Duration::ZERO,
            possible_runs: 0,
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
    /// Parks the request until the claim is tried again.
    pub(crate) fn park(self) -> Request<Queued> {
        self.with_stage(Queued { parked: true })
    }

    /// Moves a request whose claim was granted to the running stage.
    pub(crate) fn into_running(mut self, now: Time) -> Request<Running> {
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
    /// Moves the request to another upstream, which resumes the stream after its last event.
    pub(crate) fn move_to(
        mut self,
        upstream: UpstreamId,
        attempt: AttemptId,
        now: Time,
    ) -> Request<Running> {
        let previous = std::mem::replace(&mut self.stage.upstream, upstream);
        self.tried.push(previous);
        self.attempts += 1;
        self.stage.attempt = attempt;
        self.stage.began = None;
        self.stage.is_abandoned = false;
        self.stage.last_progress = now;
        self.stage.resume_count += 1;
        self.stage.sent = now;
        self.stage.is_streaming = false;
        self
    }

    /// Time of the first token; `None` if no token has been received.
    pub(crate) fn first_token_at(&self) -> Option<Time> {
        Some(self.facts.arrived + self.first_token?)
    }

    /// Marks the request as counted in the usage of its team, and returns the team. Returns `None`
    /// if the request has been counted before or has no team.
    pub(crate) fn take_uncounted_team(&mut self) -> Option<TeamId> {
        let was_counted = std::mem::replace(&mut self.is_usage_counted, true);
        (!was_counted && !self.facts.public).then(|| self.facts.team.clone())
    }

    /// Returns the request to the queued stage for another attempt.
    pub(crate) fn requeue(mut self) -> Request<Queued> {
        self.tried.push(self.stage.upstream.clone());
        self.with_stage(Queued { parked: false })
    }
}

impl<S> Request<S> {
    fn with_stage<T>(self, stage: T) -> Request<T> {
        Request {
            attempts: self.attempts,
            failed_upstreams: self.failed_upstreams,
            claimed_by: self.claimed_by,
            facts: self.facts,
            first_token: self.first_token,
            id: self.id,
            is_usage_counted: self.is_usage_counted,
            item: self.item,
            longest_pause: self.longest_pause,
            possible_runs: self.possible_runs,
            stage,
            tokens: self.tokens,
            tried: self.tried,
            verdict: self.verdict,
            wasted: self.wasted,
        }
    }

    /// Adds computed tokens that were wasted.
    pub(crate) fn add_wasted_tokens(&mut self, cause: WasteCause, tokens: Tokens) {
        if tokens.get() == 0 {
            return;
        }
        let before = self.wasted.map_or(0, |(_, tokens)| tokens.get());
        self.wasted = Some((cause, Tokens::new(before + tokens.get())));
    }

    /// Whether the time to the first token, the average time between tokens and the longest pause
    /// met the targets of the class. If the time of the first token is unknown because the
    /// response arrived all at once, the total time is compared with the sum of the first two
    /// targets.
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
            expected_duration: None,
            first_token: self.first_token,
            duration: now.since(self.facts.arrived),
            time_limit: Some(self.facts.deadline.since(self.facts.arrived)),
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
