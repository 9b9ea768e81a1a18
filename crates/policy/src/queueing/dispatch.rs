//! Dispatch: which queued request gets the next free slot.

use super::*;

/// Engine priority of a request that is served for its minimum share: an engine serves its
/// own queue by priority, and would starve it otherwise.
const MINIMUM_SHARE_PRIORITY: u8 = 0;

impl Controller {
    /// Sends queued requests while there is room for them; `only` names the
    /// lanes to be tried, all if it is `None`.
    pub(crate) fn dispatch(
        &mut self,
        now: Time,
        only: Option<&[Target]>,
        actions: &mut Vec<Action>,
    ) {
        if self.queued == 0 {
            return;
        }
        self.dispatch_minimum_shares(now, only, actions);
        let mut full: BTreeSet<Target> = BTreeSet::new();
        for rank in Rank::all() {
            let targets: Vec<Target> = self
                .lanes
                .iter()
                .filter(|(target, _)| only.is_none_or(|only| only.contains(target)))
                .filter(|(target, lane)| lane.has_work(rank) && !full.contains(target))
                .map(|(target, _)| target.clone())
                .collect();
            for target in targets {
                if !self.drain_rank(now, &target, rank, actions) {
                    full.insert(target);
                }
            }
        }
    }

    /// Sends what a rank of a target has; false once there is no room for it
    /// at all, so that no lesser rank need be tried.
    fn drain_rank(
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
            let priority = request.facts.engine_priority;
            let pace_ms = self.pace_wanted(now, request);
            match self.choose(now, item.request, pace_ms, rank) {
                Some(upstream) => {
                    self.start(now, &item, upstream, priority, actions);
                }
                None if pace_ms.is_none() && rank.plan == Plan::Paid => return false,
                None => return true,
            }
        }
        true
    }

    fn dispatch_minimum_shares(
        &mut self,
        now: Time,
        only: Option<&[Target]>,
        actions: &mut Vec<Action>,
    ) {
        let hosts = self.peering.members.domain_size();
        let targets: Vec<(Target, Rank)> = self
            .lanes
            .iter()
            .filter(|(target, _)| only.is_none_or(|only| only.contains(target)))
            .filter_map(|(target, lane)| {
                Some((target.clone(), lane.minimum_share.due(now, hosts)?))
            })
            .collect();
        for (target, rank) in targets {
            let Some(item) = self.peek(now, &target, rank) else {
                continue;
            };
            // The room of the most urgent rank: headroom is open to minimum shares.
            let room = Rank::new(Tier::MOST_URGENT, Plan::Paid);
            if let Some(upstream) = self.choose(now, item.request, None, room) {
                self.start(now, &item, upstream, MINIMUM_SHARE_PRIORITY, actions);
            }
        }
    }

    fn peek(&mut self, now: Time, target: &Target, rank: Rank) -> Option<QueuedItem> {
        self.lanes.get_mut(target)?.peek(rank, now)
    }

    /// Token time that a request needs. One that will miss its first token
    /// anyway takes any upstream, and so leaves the fast ones to others.
    fn pace_wanted(&self, now: Time, request: &Request<Queued>) -> Option<u64> {
        let facts = &request.facts;
        let lane = self.lanes.get(&facts.target)?;
        let pause_ms = facts.pause_target.map(|pause| pause.as_millis() as u64);
        let pace_ms = facts.between_token_target_ms;
        lane.can_meet(facts.due, now)
            .then_some(pause_ms.map_or(pace_ms, |pause_ms| pause_ms.min(pace_ms)))
    }

    fn choose(
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
        let wanted = facts.placement(
            &request.tried,
            pace_ms,
            rank,
            self.stream_share(&facts.target),
            self.neighbors.candidates(),
        );
        self.pool.choose(&wanted, now, &mut self.rng)
    }

    /// Part of a target's engines that is for streams that long prompts can make late.
    pub(crate) fn stream_share(&self, target: &Target) -> f64 {
        let lane = self.lanes.get(target);
        lane.map_or(0.0, |lane| lane.partition.stream_share())
    }

    /// Takes a request from its queue and gives it a slot: sends it, or first
    /// claims its idempotency key. The claim is made only now, with the slot
    /// at hand, so that a crash leaves the key unresolved for the shortest
    /// time, and shed requests cost no write.
    fn start(
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
        self.queued -= 1;
        if let Some(lane) = self.lanes.get_mut(&facts.target) {
            lane.serve(facts.rank, item, now);
        }
        self.pool.start_request(&upstream, facts, now);
        request.attempts += 1;
        if request.attempts == 1 {
            let facts = &request.facts;
            let priority = facts.engine_priority;
            self.retries
                .note_first_attempt(&facts.target, priority, now);
        }
        let attempt = self.new_attempt();
        let unclaimed = request
            .facts
            .key
            .clone()
            .filter(|_| request.claimed_by.is_none());
        let stage = match unclaimed {
            Some((key, fingerprint)) => {
                let request = request.claim(upstream, attempt, priority);
                actions.push(Action::Claim(claim_request(&request, key, fingerprint)));
                Stage::Claiming(request)
            }
            None => {
                let mut request = request.send(upstream, attempt, priority, now);
                self.start_prompt(now, &mut request);
                request.stage.waiting = self.waiting_before(&request);
                self.push_send(now, &mut request, None, actions);
                Stage::Running(request)
            }
        };
        self.requests.insert(item.request, stage);
    }

    /// Prompt tokens that are known to wait at a request's upstream before its own.
    pub(crate) fn waiting_before(&self, request: &Request<Running>) -> u64 {
        let Some(state) = self.pool.get(&request.stage.upstream) else {
            return 0;
        };
        let own = u64::from(request.stage.prefill.get());
        (state.backlog_tokens + state.others_backlog_tokens).saturating_sub(own)
    }

    /// Orders the attempt of a running request to be sent.
    pub(crate) fn push_send(
        &self,
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
        let running = &request.stage;
        let fetch = running.fetch.as_ref();
        actions.push(Action::Send {
            order: SendOrder {
                address: state.definition.address(),
                attempt: running.attempt,
                due: request.facts.deadline,
                fetch_from: fetch.map(|fetch| fetch.address),
                inputs: Box::new(SendInputs {
                    attempt: request.attempts,
                    backlog: state.backlog_tokens,
                    brittle: state.brittleness.rate(),
                    class: request.facts.class.clone(),
                    expected_wait: Duration::from_secs_f64(state.queued_prefill_ms() / 1_000.0),
                    fetch_source: fetch.map(|fetch| fetch.source.clone()),
                    fetch_tokens: fetch.map(|fetch| fetch.tokens).unwrap_or_default(),
                    fingerprint: request.facts.fingerprint,
                    in_flight: state.in_flight,
                    limit: state.limit.rate(),
                    others_age: self.neighbors.oldest_age(now),
                    others_backlog: state.others_backlog_tokens,
                    others_in_flight: state.others_in_flight,
                    prompt: placement::shared_chain_hash(&request.facts.parts),
                    unread: running.prefill,
                    waited: now.since(request.facts.arrived),
                }),
                paths,
                priority: running.priority,
                resume,
                team: (!request.facts.public).then(|| request.facts.team.clone()),
                upstream: running.upstream.clone(),
            },
            request: request.id,
        });
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
