//! Admission: who sends, what is asked for, and whether it can be done in time.

use super::*;

/// Refused work is asked to return after the estimated wait, spread over up to
/// twice that, so that it does not return all at once.
const RETURN_SPREAD: f64 = 1.0;

/// Shortest advice to retry after a full queue.
const MIN_RETURN: Duration = Duration::from_secs(1);

/// Longest advice to retry.
const MAX_RETURN: Duration = Duration::from_secs(300);

/// Advice to retry for a host that cannot tell whether a key is still valid:
/// about the time in which the balancer moves callers to another host.
const STALE_RETURN: Duration = Duration::from_millis(500);

/// Prompt tokens that cost an engine as much as one output token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 16;

/// Team under which requests without a key are counted.
const PUBLIC_TEAM: &str = "public";

/// What the configuration says of an arrival.
struct Resolved {
    class: Class,
    class_id: ClassId,
    engine_priority: u8,
    idempotent: bool,
    plan: Plan,
    team_id: TeamId,
    tier: Tier,
    weight: u32,
}

impl Controller {
    pub(crate) fn on_arrived(&mut self, now: Time, arrival: Arrival, actions: &mut Vec<Action>) {
        let request = arrival.request;
        if let Err(refusal) = self.admit(now, arrival, actions) {
            actions.push(Action::Refuse { refusal, request });
            actions.push(Action::Record(refused_unknown(refusal, request)));
        }
    }

    fn admit(
        &mut self,
        now: Time,
        arrival: Arrival,
        actions: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        let resolved = self.resolve(&arrival, now)?;
        let rank = Rank::new(resolved.tier, resolved.plan);
        let fingerprint = arrival.fingerprint.of_team(&resolved.team_id);
        let admitted = self
            .check_barred(&fingerprint, now)
            .and_then(|()| {
                let Resolved {
                    class_id,
                    engine_priority,
                    ..
                } = &resolved;
                self.check_congestion(now, &arrival.target, class_id, *engine_priority)
            })
            .and_then(|()| self.check_wait(&arrival.target, rank, &resolved.class));
        if let Err(refusal) = admitted {
            self.limits.release(&resolved.team_id);
            actions.push(Action::Refuse {
                refusal,
                request: arrival.request,
            });
            let outcome = refused_known(refusal, arrival.request, &resolved);
            actions.push(Action::Record(outcome));
            return Ok(());
        }
        let request = self.new_request(now, arrival, resolved, rank);
        let admitted = self
            .check_time(now, &request)
            .and_then(|()| self.make_room(now, rank, actions));
        match admitted {
            Ok(()) => self.enqueue(now, request),
            Err(refusal) => {
                self.limits.release(&request.facts.team);
                self.finish_refused(now, &request, refusal, actions);
            }
        }
        Ok(())
    }

    /// Finds team and class, and checks that the team may send this now.
    fn resolve(&mut self, arrival: &Arrival, now: Time) -> Result<Resolved, Refusal> {
        let refuse = Refusal::not_run;
        let Some(numbered) = self.configuration.clone() else {
            return Err(Refusal {
                retry_after: Some(MIN_RETURN),
                ..refuse(RefusalReason::NotReady)
            });
        };
        let document = &numbered.document;
        if let Some(routed) = &arrival.routed {
            return self.resolve_routed(document, arrival, routed, now);
        }
        let team_id = arrival
            .key_hash
            .and_then(|key_hash| self.teams_by_key.get(&key_hash))
            .ok_or(refuse(RefusalReason::UnknownKey))?;
        let team = &document.teams[team_id];
        let class_id = arrival.class.as_ref().unwrap_or(&team.default_class);
        let class = document
            .classes
            .get(class_id)
            .ok_or(refuse(RefusalReason::UnknownClass))?;
        if !team.classes.contains(class_id) {
            return Err(refuse(RefusalReason::ClassNotAllowed));
        }
        let service_idempotent = self.check_target(document, &arrival.target)?;
        let asked = arrival.repeatability == Repeatability::AsConfigured;
        let tier = team.tier.unwrap_or(class.tier);
        let resolved = Resolved {
            class: class.clone(),
            class_id: class_id.clone(),
            engine_priority: u8::from(tier),
            idempotent: class.idempotent && service_idempotent && asked,
            plan: team.plan,
            team_id: team_id.clone(),
            tier,
            weight: team.weight,
        };
        self.limits.admit(&resolved.team_id, team, now)?;
        Ok(resolved)
    }

    /// Finds the team of a request that a route relays. Routes are open to all
    /// teams, and a route's class is the one that counts.
    fn resolve_routed(
        &mut self,
        document: &Document,
        arrival: &Arrival,
        routed: &Routed,
        now: Time,
    ) -> Result<Resolved, Refusal> {
        let class_id = arrival.class.as_ref();
        let (class_id, class) = class_id
            .and_then(|id| document.classes.get_key_value(id))
            .ok_or(Refusal::not_run(RefusalReason::UnknownClass))?;
        let resolved = Resolved {
            class: class.clone(),
            class_id: class_id.clone(),
            engine_priority: self.urgency.engine_priority(None, class.tier),
            idempotent: class.idempotent,
            plan: Plan::Paid,
            team_id: PUBLIC_TEAM.parse().expect("the name is a valid id"),
            tier: self.urgency.tier(None, class.tier),
            weight: 1,
        };
        if self.is_outdated(now) {
            return Err(stale());
        }
        if routed.public {
            return Ok(resolved);
        }
        self.check_knowledge(now)?;
        let team_id = arrival
            .key_hash
            .and_then(|key_hash| self.teams_by_key.get(&key_hash))
            .ok_or_else(|| self.unknown_key())?;
        let team = &document.teams[team_id];
        self.limits.admit(team_id, team, now)?;
        Ok(Resolved {
            engine_priority: self.urgency.engine_priority(team.tier, class.tier),
            plan: team.plan,
            team_id: team_id.clone(),
            tier: self.urgency.tier(team.tier, class.tier),
            weight: team.weight,
            ..resolved
        })
    }

    /// A key that a newer version may have added is not denied.
    fn unknown_key(&self) -> Refusal {
        if self.is_behind() {
            stale()
        } else {
            Refusal::not_run(RefusalReason::UnknownKey)
        }
    }

    /// Refuses to judge a key with a configuration that may be outdated.
    ///
    /// What goes wrong otherwise: a key is removed while this host is cut off
    /// from the store, and the host goes on taking it for valid. One would
    /// notice requests that run long after their key was removed. The bound
    /// holds for every host, so one that cannot know refuses.
    fn check_knowledge(&self, now: Time) -> Result<(), Refusal> {
        if self.knows_configuration(now) {
            return Ok(());
        }
        Err(stale())
    }

    /// Whether the configuration is known to have been the newest one a short
    /// while ago.
    pub(crate) fn knows_configuration(&self, now: Time) -> bool {
        if self.is_outdated(now) {
            return false;
        }
        let limit = self.options.relay.as_ref().map(|relay| relay.key_knowledge);
        match (limit, self.confirmed) {
            (None, _) => true,
            (Some(limit), Some(confirmed)) => now.since(confirmed) < limit,
            (Some(_), None) => false,
        }
    }

    /// Whether the target exists, and whether it may be called twice.
    fn check_target(&self, document: &Document, target: &Target) -> Result<bool, Refusal> {
        match target {
            Target::Model(_) if self.pool.serves(target) => Ok(true),
            Target::Model(_) => Err(Refusal::not_run(RefusalReason::UnknownModel)),
            Target::Service(service) => match document.services.get(service) {
                Some(service) => Ok(service.idempotent),
                None => Err(Refusal::not_run(RefusalReason::UnknownService)),
            },
        }
    }

    /// Refuses at once what could not start in time anyway. Only work of the
    /// same or a more urgent rank is counted as going before it.
    fn check_wait(&mut self, target: &Target, rank: Rank, class: &Class) -> Result<(), Refusal> {
        let Some(lane) = self.lanes.get(target) else {
            return Ok(());
        };
        let ahead = lane.cost_ahead(rank) as f64;
        let Some(tokens_per_s) = lane.rate.tokens_per_s(self.pool.slots_for(target)) else {
            return Ok(());
        };
        let wait_s = ahead / tokens_per_s;
        let deadline_s = class.deadline_ms as f64 / 1_000.0;
        if wait_s <= deadline_s {
            return Ok(());
        }
        let excess = Duration::from_secs_f64(wait_s - deadline_s);
        Err(Refusal {
            retry_after: Some(self.spread(excess)),
            ..Refusal::not_run(RefusalReason::DeadlineUnreachable)
        })
    }

    /// Makes room in a full queue by giving up a request that is strictly less
    /// urgent, or refuses the new one.
    fn make_room(
        &mut self,
        now: Time,
        rank: Rank,
        actions: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        if self.queued < self.options.max_queued {
            return Ok(());
        }
        let victim = self
            .lanes
            .values()
            .filter_map(|lane| lane.worst_below(rank))
            .max_by_key(|(rank, item)| (*rank, item.due, item.seq));
        match victim {
            Some((_, item)) => {
                self.refuse_queued(now, item.request, RefusalReason::QueueFull, actions);
                Ok(())
            }
            None => Err(Refusal {
                retry_after: Some(self.spread(MIN_RETURN)),
                ..Refusal::not_run(RefusalReason::QueueFull)
            }),
        }
    }

    fn new_request(
        &mut self,
        now: Time,
        arrival: Arrival,
        resolved: Resolved,
        rank: Rank,
    ) -> Request<Queued> {
        let output =
            self.length
                .estimate(&resolved.class_id, &resolved.team_id, arrival.max_output);
        let prompt_cost = u64::from(arrival.prompt.get()) / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
        let due = now.plus_ms(resolved.class.first_token_target_ms);
        let item = QueuedItem {
            cost: u64::from(output.get()) + prompt_cost,
            due,
            request: arrival.request,
            seq: self.next_seq,
            team: resolved.team_id.clone(),
            weight: resolved.weight,
        };
        self.next_seq += 1;
        let key = match arrival.repeatability {
            Repeatability::AtMostOncePerKey { key } => Some((key, arrival.fingerprint)),
            Repeatability::AsConfigured | Repeatability::AtMostOnce => None,
        };
        let (parts, public, time_limit) = match arrival.routed {
            Some(routed) => (routed.parts, routed.public, routed.time_limit),
            None => (Vec::new(), false, None),
        };
        let longest = Duration::from_millis(resolved.class.deadline_ms);
        let lane = self.lanes.entry(arrival.target.clone()).or_default();
        let is_long = lane
            .long_prompts
            .observe(prompt_cache::total_tokens(&parts));
        let pause_target_ms = resolved.class.pause_target_ms;
        let pause_bound = pause_target_ms.is_some() && pause_target_ms == self.shortest_pause_ms;
        if let Some(own) = parts.last() {
            let read = u64::from(own.tokens.get()) / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
            let work = (u64::from(output.get()) + read) as f64;
            lane.partition.note(now, pause_bound, work);
        }
        let facts = RequestFacts {
            arrived: now,
            between_token_target_ms: resolved.class.between_token_target_ms,
            class: resolved.class_id,
            deadline: now + time_limit.unwrap_or(longest).min(longest),
            due,
            engine_priority: resolved.engine_priority,
            fingerprint: arrival.fingerprint.of_team(&resolved.team_id),
            first_token_target_ms: resolved.class.first_token_target_ms,
            idempotent: resolved.idempotent,
            is_long,
            key,
            max_attempts: resolved.class.max_attempts,
            pause_bound,
            pause_target: pause_target_ms.map(Duration::from_millis),
            parts,
            prefix: arrival.prefix,
            public,
            rank,
            resumable: resolved.class.resumable,
            target: arrival.target,
            team: resolved.team_id,
        };
        Request::new(arrival.request, facts, item)
    }

    pub(crate) fn enqueue(&mut self, now: Time, request: Request<Queued>) {
        let facts = &request.facts;
        self.deadlines.insert((facts.deadline, request.id));
        let lane = self.lanes.entry(facts.target.clone()).or_default();
        lane.push(facts.rank, request.item.clone(), now);
        self.queued += 1;
        self.requests.insert(request.id, Stage::Queued(request));
    }

    /// Takes a request out of its queue, if it is queued.
    pub(crate) fn unqueue(&mut self, now: Time, id: RequestId) -> Option<Request<Queued>> {
        match self.requests.remove(&id)? {
            Stage::Queued(request) => {
                let facts = &request.facts;
                self.deadlines.remove(&(facts.deadline, id));
                if let Some(lane) = self.lanes.get_mut(&facts.target) {
                    lane.remove(facts.rank, &request.item, now);
                }
                self.queued -= 1;
                Some(request)
            }
            other => {
                self.requests.insert(id, other);
                None
            }
        }
    }

    /// Gives a queued request its final answer.
    pub(crate) fn refuse_queued(
        &mut self,
        now: Time,
        id: RequestId,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        if let Some(request) = self.unqueue(now, id) {
            self.refuse(now, request, reason, actions);
        }
    }

    /// A moment to return, spread at random.
    pub(crate) fn spread(&mut self, wait: Duration) -> Duration {
        let factor = 1.0 + RETURN_SPREAD * self.rng.random::<f64>();
        wait.max(MIN_RETURN).mul_f64(factor).min(MAX_RETURN)
    }
}

/// The configuration may be outdated: another host can tell, and soon this one.
fn stale() -> Refusal {
    Refusal {
        retry_after: Some(STALE_RETURN),
        ..Refusal::not_run(RefusalReason::ConfigurationStale)
    }
}

fn refused_unknown(refusal: Refusal, request: RequestId) -> Outcome {
    Outcome {
        attempts: 0,
        class: None,
        end: refusal.reason.end(),
        expected: None,
        first_token: None,
        limit: None,
        longest_pause: Duration::ZERO,
        lasted: Duration::ZERO,
        met_target: false,
        reason: Some(refusal.reason),
        request,
        team: None,
        tier: None,
        tokens: Tokens::default(),
        upstream: None,
        verdict: refusal.verdict,
        wasted: None,
    }
}

fn refused_known(refusal: Refusal, request: RequestId, resolved: &Resolved) -> Outcome {
    Outcome {
        class: Some(resolved.class_id.clone()),
        team: Some(resolved.team_id.clone()),
        tier: Some(resolved.tier),
        ..refused_unknown(refusal, request)
    }
}
