//! Dispatch: which queued request gets the next free slot.

use super::*;

/// Engine priority of a request that is dispatched for the minimum share of its rank. An engine
/// serves its own queue by priority, so the request would starve there with its usual priority.
const MINIMUM_SHARE_PRIORITY: u8 = 0;

impl Controller {
    /// Dispatches queued requests while upstreams have room. Only the queues of `only_targets` are
    /// tried, or all queues if it is `None`.
    pub(crate) fn dispatch(
        &mut self,
        now: Time,
        only_targets: Option<&[Target]>,
        actions: &mut Vec<Action>,
    ) {
        if self.queued_count == 0 {
            return;
        }
        self.dispatch_minimum_shares(now, only_targets, actions);
        let mut full_targets: BTreeSet<Target> = BTreeSet::new();
        for rank in Rank::all() {
            let targets: Vec<Target> = self
                .target_queues
                .iter()
                .filter(|(target, _)| {
                    only_targets.is_none_or(|only_targets| only_targets.contains(target))
                })
                .filter(|(target, queues)| queues.has_work(rank) && !full_targets.contains(target))
                .map(|(target, _)| target.clone())
                .collect();
            for target in targets {
                if !self.dispatch_rank(now, &target, rank, actions) {
                    full_targets.insert(target);
                }
            }
        }
    }

    /// Dispatches the queued requests of one rank. Returns false if the target has no room left, so
    /// that less urgent ranks needn't be tried.
    fn dispatch_rank(
        &mut self,
        now: Time,
        target: &Target,
        rank: Rank,
        actions: &mut Vec<Action>,
    ) -> bool {
        while let Some(item) = self.peek(now, target, rank) {
            let Some(Stage::Queued(request)) = self.requests.get(&item.request) else {
                return true;
            };
            if !self.drain.can_end(now, &request.facts) {
                self.refuse_draining(now, item.request, actions);
                continue;
            }
            let priority = request.facts.engine_priority;
            let pace_ms = self.required_pace_ms(now, request);
            let is_bound = request.facts.version_bound != VersionBound::Any;
            match self.choose_upstream(now, item.request, pace_ms, rank) {
                Some(upstream) => {
                    self.start_attempt(now, &item, upstream, priority, actions);
                }
                None if is_bound => self.set_aside(now, item.request, actions),
                None if pace_ms.is_none() && rank.plan == Plan::Paid => return false,
                None => return true,
            }
        }
        true
    }

    fn dispatch_minimum_shares(
        &mut self,
        now: Time,
        only_targets: Option<&[Target]>,
        actions: &mut Vec<Action>,
    ) {
        let hosts = self.peering.members.domain_size();
        let targets: Vec<(Target, Rank)> = self
            .target_queues
            .iter()
            .filter(|(target, _)| {
                only_targets.is_none_or(|only_targets| only_targets.contains(target))
            })
            .filter_map(|(target, queues)| {
                Some((target.clone(), queues.minimum_share.due_rank(now, hosts)?))
            })
            .collect();
        for (target, rank) in targets {
            let Some(item) = self.peek(now, &target, rank) else {
                continue;
            };
            let stage = self.requests.get(&item.request);
            if !stage.is_some_and(|stage| self.drain.can_end(now, stage.facts())) {
                continue;
            }
            // Uses the most urgent rank for the choice of an upstream, so that minimum shares may
            // use the headroom.
            let placement_rank = Rank::MOST_URGENT;
            if let Some(upstream) = self.choose_upstream(now, item.request, None, placement_rank) {
                self.start_attempt(now, &item, upstream, MINIMUM_SHARE_PRIORITY, actions);
            }
        }
    }

    fn peek(&mut self, now: Time, target: &Target, rank: Rank) -> Option<QueuedItem> {
        self.target_queues.get_mut(target)?.peek(rank, now)
    }

    /// Longest time between tokens that meets the request's targets. `None` if the request will
    /// miss its target for the first token anyway: it may then use any upstream, which leaves the
    /// fast upstreams to other requests.
    fn required_pace_ms(&self, now: Time, request: &Request<Queued>) -> Option<u64> {
        let facts = &request.facts;
        let queues = self.target_queues.get(&facts.target)?;
        let pause_ms = facts.pause_target.map(|pause| pause.as_millis() as u64);
        let pace_ms = facts.between_token_target_ms;
        queues
            .can_meet(facts.due, now)
            .then_some(pause_ms.map_or(pace_ms, |pause_ms| pause_ms.min(pace_ms)))
    }

    fn choose_upstream(
        &mut self,
        now: Time,
        request: RequestId,
        pace_ms: Option<u64>,
        rank: Rank,
    ) -> Option<UpstreamId> {
        let Some(Stage::Queued(request)) = self.requests.get(&request) else {
            return None;
        };
        let facts = &request.facts;
        // A stream that is taken up has few upstreams to choose from, so it may use all their room.
        let (pace_ms, rank) = match facts.version_bound {
            VersionBound::Any => (pace_ms, rank),
            VersionBound::Only(_) => (None, Rank::MOST_URGENT),
        };
        let placement_request = facts.placement(
            &request.tried,
            &facts.version_bound,
            pace_ms,
            rank,
            self.stream_share(&facts.target),
            self.neighbors.candidate_limit(),
        );
        self.pool.choose(&placement_request, now, &mut self.rng)
    }

    /// Fraction of the target's engines that is reserved for streams whose pause targets long
    /// prompts on the same engine could violate.
    pub(crate) fn stream_share(&self, target: &Target) -> f64 {
        let queues = self.target_queues.get(target);
        queues.map_or(0.0, |queues| queues.partition.stream_share())
    }

    /// Moves a request from its queue to a slot of an upstream. The attempt is sent at once, or, if
    /// the request has an idempotency key, after the key is claimed.
    ///
    /// The key is claimed only when a slot is available: a crash then leaves the key unresolved for
    /// the shortest time, and requests that are shed cause no write to the store.
    fn start_attempt(
        &mut self,
        now: Time,
        item: &QueuedItem,
        upstream: UpstreamId,
        priority: u8,
        actions: &mut Vec<Action>,
    ) {
        let Some(Stage::Queued(mut request)) = self.requests.remove(&item.request) else {
            return;
        };
        let facts = &request.facts;
        self.deadlines.remove(&(facts.deadline, request.id));
        self.queued_count -= 1;
        if let Some(queues) = self.target_queues.get_mut(&facts.target) {
            queues.serve(facts.rank, item, now);
        }
        self.pool.start_request(&upstream, facts, now);
        request.attempts += 1;
        if request.attempts == 1 {
            let facts = &request.facts;
            let priority = facts.engine_priority;
            self.retry_budgets
                .record_first_attempt(&facts.target, priority, now);
        }
        let attempt = self.new_attempt_id();
        let unclaimed_key = request
            .facts
            .key
            .clone()
            .filter(|_| request.claimed_by.is_none());
        let stage = match unclaimed_key {
            Some((key, fingerprint)) => {
                let request = request.claim(upstream, attempt, priority);
                actions.push(Action::Claim(claim_request(&request, key, fingerprint)));
                Stage::Claiming(request)
            }
            None => {
                let mut request = request.send(upstream, attempt, priority, now);
                self.start_prompt(now, &mut request);
                request.stage.prompt_tokens_ahead = self.prompt_tokens_ahead(&request);
                self.push_send(now, &mut request, None, actions);
                Stage::Running(request)
            }
        };
        self.requests.insert(item.request, stage);
    }

    /// Prompt tokens that are known to be queued at the request's upstream ahead of its own prompt.
    pub(crate) fn prompt_tokens_ahead(&self, request: &Request<Running>) -> u64 {
        let Some(state) = self.pool.get(&request.stage.upstream) else {
            return 0;
        };
        let own_tokens = u64::from(request.stage.prefill.get());
        (state.backlog_tokens + state.others_backlog_tokens).saturating_sub(own_tokens)
    }

    /// Adds the action that sends the current attempt of a running request.
    pub(crate) fn push_send(
        &mut self,
        now: Time,
        request: &mut Request<Running>,
        resume: Option<AttemptId>,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.pool.get(&request.stage.upstream) else {
            return;
        };
        let paths = self.paths_to(now, state);
        request.stage.is_direct = paths.first() == Some(&Path::Direct);
        request.stage.software_version = state.definition.software_version().cloned();
        let running = &request.stage;
        let fetch = running.fetch.as_ref();
        actions.push(Action::Send {
            order: SendOrder {
                address: state.definition.address(),
                attempt: running.attempt,
                deadline: request.facts.deadline,
                fetch_from: fetch.map(|fetch| fetch.address),
                inputs: Box::new(SendInputs {
                    attempt: request.attempts,
                    backlog: state.backlog_tokens,
                    rejection_limit: state.brittleness.rejection_limit(),
                    class: request.facts.class.clone(),
                    expected_wait: Duration::from_secs_f64(state.queued_prefill_ms() / 1_000.0),
                    fetch_source: fetch.map(|fetch| fetch.source.clone()),
                    fetch_tokens: fetch.map(|fetch| fetch.known_tokens).unwrap_or_default(),
                    fingerprint: request.facts.fingerprint,
                    in_flight: state.in_flight,
                    rate_limit: state.limit.rate(),
                    resumed_stream: request.facts.resumed_stream,
                    software_version: running.software_version.clone(),
                    stream: request.facts.stream,
                    others_age: self.neighbors.oldest_note_age(now),
                    others_backlog: state.others_backlog_tokens,
                    others_in_flight: state.others_in_flight,
                    shared_parts: placement::shared_parts(&request.facts.parts).to_vec(),
                    shared_parts_hash: placement::shared_chain_hash(&request.facts.parts),
                    prefill_tokens: running.prefill,
                    waited: now.since(request.facts.arrived),
                }),
                paths,
                priority: running.priority,
                resume_from: resume,
                team: (!request.facts.public).then(|| request.facts.team.clone()),
                upstream: running.upstream.clone(),
            },
            request: request.id,
        });
        if let Some(version) = request.stream_version() {
            self.report_stream(now, version, actions);
        }
    }
}

fn claim_request(
    request: &Request<Claiming>,
    key: IdempotencyKey,
    fingerprint: Fingerprint,
) -> ClaimRequest {
    ClaimRequest {
        attempt: request.stage.attempt,
        deadline: request.facts.deadline,
        fingerprint,
        key,
        request: request.id,
        team: request.facts.team.clone(),
        tier: request.facts.rank.tier,
    }
}
