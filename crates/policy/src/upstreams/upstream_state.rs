use super::*;

/// Weight of the newest sample in the moving average of the time between tokens.
const TOKEN_TIME_WEIGHT: f64 = 0.1;

/// What this host knows of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    /// Prompt tokens of this host's requests that have received no first token yet.
    pub(crate) backlog_tokens: u64,
    pub(crate) backoff: Backoff,
    pub(crate) brittleness: Brittleness,
    pub(crate) cache: PromptCache,
    pub(crate) definition: Upstream,
    pub(crate) departure: Departure,
    /// Index of the upstream's group; `None` for an upstream of another failure domain.
    pub(crate) group: Option<usize>,
    pub(crate) health: Health,
    /// Slots that belong to this host alone, by its share of the group.
    pub(crate) own_slots: u32,
    pub(crate) id: UpstreamId,
    /// Requests of this host in flight.
    pub(crate) in_flight: u32,
    /// Trial requests among `in_flight`.
    pub(crate) in_flight_trial: u32,
    /// Rate limit that the upstream names for all hosts together.
    pub(crate) limit: UpstreamLimit,
    /// Slots that this host may use if the upstream is in another failure domain.
    pub(crate) remote_share: u32,
    /// Pause-sensitive requests of other hosts in flight, according to their load notes.
    pub(crate) others_pause_sensitive: u32,
    /// Pause-sensitive requests of this host in flight: those that long prompts on the same engine
    /// can make late.
    pub(crate) pause_sensitive: u32,
    /// Position in the order in which engines are reserved for pause-sensitive requests, the lowest
    /// first. The order is the same on every host.
    pub(crate) reservation_order: u64,
    /// Whether the hosts of all failure domains know the upstream.
    pub(crate) is_common: bool,
    /// Whether the upstream is in this host's failure domain.
    pub(crate) is_local: bool,
    /// Recent results of this host's requests.
    pub(crate) track_record: TrackRecord,
    /// Whether the upstream is no longer configured.
    pub(crate) removed: bool,
    /// Speed of the upstream, if it is an engine.
    pub(crate) speed: EngineSpeed,
    /// Requests of this host in flight that have received tokens.
    pub(crate) streams: u32,
    /// Moving average of the time between two tokens.
    pub(crate) token_time_ms: Option<f64>,
    /// Transfers of prompt parts over the upstream's network link.
    pub(crate) transfers: TransferLink,
    in_flight_history: InFlightHistory,
    /// Requests of other hosts in flight, according to the last load report or their load notes.
    pub(crate) others_in_flight: u32,
    /// Prompt tokens of other hosts' requests that have received no first token yet, according to
    /// their load notes.
    pub(crate) others_backlog_tokens: u64,
}

impl UpstreamState {
    pub(crate) fn new(id: UpstreamId, definition: Upstream) -> Self {
        let memory = match &definition {
            Upstream::Engine(engine) => engine.memory,
            Upstream::Service(_) => None,
        };
        Self {
            backlog_tokens: 0,
            backoff: Backoff::default(),
            brittleness: Brittleness::default(),
            cache: PromptCache::new(memory),
            departure: Departure::default(),
            remote_share: 0,
            group: None,
            health: Health::default(),
            in_flight_history: InFlightHistory::default(),
            own_slots: 0,
            in_flight: 0,
            in_flight_trial: 0,
            is_common: true,
            limit: UpstreamLimit::default(),
            is_local: false,
            others_in_flight: 0,
            others_backlog_tokens: 0,
            others_pause_sensitive: 0,
            pause_sensitive: 0,
            reservation_order: placement::rendezvous_hash(&id, 0),
            track_record: TrackRecord::default(),
            removed: false,
            speed: EngineSpeed::new(&id),
            streams: 0,
            token_time_ms: None,
            transfers: TransferLink::default(),
            definition,
            id,
        }
    }

    /// Applies a load report, less the requests that this host had in flight when the report was
    /// made.
    pub(crate) fn note_report(&mut self, report: LoadReport, now: Time) {
        self.departure.note_reported(report.leaving);
        let reported = report.running.saturating_add(report.waiting);
        let made = now - Duration::from_millis(report.age_ms);
        self.others_in_flight = reported.saturating_sub(self.in_flight_history.at(made));
    }

    pub(crate) fn start_request(&mut self, facts: &RequestFacts, now: Time) {
        self.in_flight += 1;
        self.backoff.note_sent(now);
        self.limit.consume_token(now);
        self.in_flight_trial += u32::from(facts.rank.plan == Plan::Trial);
        self.pause_sensitive += u32::from(facts.pause_bound);
        self.in_flight_history.note(self.in_flight, now);
    }

    pub(crate) fn end_request(&mut self, facts: &RequestFacts, now: Time) {
        let trial = u32::from(facts.rank.plan == Plan::Trial);
        let pause_sensitive = u32::from(facts.pause_bound);
        self.pause_sensitive = self.pause_sensitive.saturating_sub(pause_sensitive);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.in_flight_trial = self.in_flight_trial.saturating_sub(trial);
        self.in_flight_history.note(self.in_flight, now);
    }

    /// Records that a prompt is sent. Returns the number of tokens that the upstream has to
    /// prefill.
    pub(crate) fn start_prefill(&mut self, parts: &[PromptPart]) -> Tokens {
        let prefill = prompt_cache::total_tokens(parts) - self.cache.cached_tokens(parts);
        self.backlog_tokens += prefill;
        Tokens::new(prefill.min(u64::from(u32::MAX)) as u32)
    }

    /// Records a prompt that is sent in the estimate of the cache. Returns the shared parts that
    /// are new to the cache.
    pub(crate) fn note_prompt_sent(&mut self, parts: &[PromptPart]) -> Vec<PromptRead> {
        let reads = self.cache.uncached_parts(placement::shared_parts(parts));
        let reads = reads.map(|(chain_hash, part)| self.prompt_read(chain_hash, part));
        let reads = reads.collect();
        self.cache.note_sent(parts);
        reads
    }

    /// Records that a prompt has been prefilled. Returns the shared parts that were not known to be
    /// prefilled before.
    pub(crate) fn confirm_prompt(&mut self, parts: &[PromptPart]) -> Vec<PromptRead> {
        let reads = self.cache.unconfirmed_parts(placement::shared_parts(parts));
        let reads = reads.map(|(chain_hash, part)| self.prompt_read(chain_hash, part));
        let reads = reads.collect();
        self.cache.confirm(parts);
        reads
    }

    fn prompt_read(&self, chain_hash: u64, part: &PromptPart) -> PromptRead {
        PromptRead {
            chain: chain_hash,
            tokens: part.tokens,
            upstream: self.id.clone(),
        }
    }

    /// Records that a prompt has been prefilled, or will not be.
    pub(crate) fn end_prefill(&mut self, prefill: Tokens) {
        self.backlog_tokens = self.backlog_tokens.saturating_sub(u64::from(prefill.get()));
    }

    /// Records a request that was answered completely after `span`. Only the time of a plain
    /// service describes the upstream: the time of an engine depends on the length of the answer.
    pub(crate) fn note_success(&mut self, span: Duration, now: Time) {
        self.health.note_success();
        self.track_record.note_success(now);
        if matches!(self.definition, Upstream::Service(_)) {
            self.track_record.note_answer_time(span);
        }
    }

    /// Records that generating `tokens` tokens took `span`.
    pub(crate) fn note_tokens(&mut self, tokens: Tokens, span: Duration) {
        if tokens.get() == 0 {
            return;
        }
        let sample = span.as_secs_f64() * 1_000.0 / f64::from(tokens.get());
        let average = self.token_time_ms.get_or_insert(sample);
        *average += TOKEN_TIME_WEIGHT * (sample - *average);
    }

    /// Whether this host knows that the upstream is leaving from a source other than its peers.
    pub(crate) const fn is_leaving_first_hand(&self) -> bool {
        self.departure.is_first_hand()
    }

    /// Whether the upstream is leaving, according to any source, or has been removed.
    pub(crate) fn is_leaving(&self, now: Time) -> bool {
        self.removed || self.departure.is_known(now)
    }

    /// Whether the upstream takes new requests, apart from its rate limit.
    pub(crate) fn is_available(&self, now: Time) -> bool {
        !self.is_leaving(now) && self.health.is_healthy() && self.backoff.is_over(now)
    }

    /// Whether the upstream takes another request of this host now.
    pub(crate) fn accepts_request(&self, now: Time) -> bool {
        self.is_available(now)
            && self.backoff.may_send(now)
            && self.limit.has_token(now)
            && self.brittleness_allows_request(now)
    }

    /// Whether the upstream has room for another request, if it is one that fails when it has to
    /// reject many requests. Any other upstream always has.
    fn brittleness_allows_request(&self, now: Time) -> bool {
        let slots = self.definition.slots();
        let brittleness = &self.brittleness;
        brittleness.allows_request(self.in_flight, self.others_in_flight, slots, now)
    }

    /// Slots that may be used. The number rises slowly after the upstream returns from an ejection.
    fn slow_start_slots(&self, now: Time) -> u32 {
        (f64::from(self.definition.slots()) * self.health.slot_share(now)).ceil() as u32
    }

    /// Whether one of this host's own slots is free. This needs no load report.
    pub(crate) fn has_free_own_slot(&self, now: Time) -> bool {
        self.accepts_request(now) && self.in_flight < self.own_slots.min(self.slow_start_slots(now))
    }

    /// Whether a slot is free, according to the last load report or note and this host's requests.
    pub(crate) fn has_free_slot(&self, now: Time) -> bool {
        self.accepts_request(now) && self.all_in_flight() < self.slow_start_slots(now)
    }

    /// Whether another request fits into the upstream's own queue. Only engines serve their queue
    /// by priority.
    pub(crate) fn has_queue_room(&self, now: Time) -> bool {
        let Upstream::Engine(engine) = &self.definition else {
            return false;
        };
        let slow_start = self.health.slot_share(now) < 1.0;
        let places = engine.slots.saturating_add(engine.queue_bound);
        self.accepts_request(now) && !slow_start && self.all_in_flight() < places
    }

    /// Requests of all hosts in flight.
    pub(crate) const fn all_in_flight(&self) -> u32 {
        self.in_flight.saturating_add(self.others_in_flight)
    }

    /// Requests in flight as a share of the slots; 1 if all slots are taken. Requests of other
    /// hosts are counted according to the last load report or note.
    pub(crate) fn utilization(&self) -> f64 {
        f64::from(self.all_in_flight()) / f64::from(self.definition.slots().max(1))
    }

    /// Whether the upstream generates tokens fast enough for a target. An upstream of unknown speed
    /// is assumed to.
    pub(crate) fn meets_token_target(&self, target_ms: u64) -> bool {
        self.token_time_ms.is_none_or(|ms| ms <= target_ms as f64)
    }
}
