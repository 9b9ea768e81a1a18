//! Admission control: resolves a request's team and class, checks the limits and deadlines, and
//! queues the request.

use super::*;

/// Maximum jitter of `Retry-After` as a fraction of the estimated wait. Refused requests return
/// after one to two times the wait, so that they don't all return at once.
const RETRY_AFTER_JITTER: f64 = 1.0;

/// Minimum `Retry-After`, and the estimated wait where the queue is full.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum `Retry-After`.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(300);

/// `Retry-After` from a host whose configuration may be outdated: about the time that the load
/// balancer needs to move callers to another host.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Number of prompt tokens that cost an engine as much as one output token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 16;

/// Team that requests without a key are counted under.
const PUBLIC_TEAM: &str = "public";

/// The parts of the configuration that apply to an arrival.
struct ResolvedArrival {
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
        let routed = arrival.routed.as_ref();
        match routed.and_then(|routed| routed.resumed_stream) {
            Some(stream) => self.take_up_stream(now, stream, arrival, actions),
            None => self.admit_or_refuse(now, arrival, VersionBound::Any, actions),
        }
    }

    /// Admits a request that upstreams of some software versions may run, or refuses it.
    pub(crate) fn admit_or_refuse(
        &mut self,
        now: Time,
        arrival: Arrival,
        bound: VersionBound,
        actions: &mut Vec<Action>,
    ) {
        let request = arrival.request;
        if let Err(refusal) = self.admit(now, arrival, bound, actions) {
            push_refusal(request, refusal, actions);
        }
    }

    fn admit(
        &mut self,
        now: Time,
        arrival: Arrival,
        bound: VersionBound,
        actions: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        let resolved = self.resolve(&arrival, now)?;
        let rank = Rank::new(resolved.tier, resolved.plan);
        let fingerprint = arrival.fingerprint.for_team(&resolved.team_id);
        // The estimates are for a whole target, and say nothing about the upstreams of one version.
        let is_bound = bound != VersionBound::Any;
        let parts = arrival
            .routed
            .as_ref()
            .map_or(&[][..], |routed| &routed.parts);
        let subjects = crash_subjects(&arrival.target, parts, fingerprint);
        let admitted = self.check_barred(&subjects, now).and_then(|()| {
            if is_bound {
                return Ok(());
            }
            let ResolvedArrival {
                class_id,
                engine_priority,
                ..
            } = &resolved;
            self.check_congestion(now, &arrival.target, class_id, *engine_priority)?;
            self.check_queue_wait(&arrival.target, rank, &resolved.class)
        });
        if let Err(refusal) = admitted {
            self.team_limits.release(&resolved.team_id);
            actions.push(Action::Refuse {
                refusal,
                request: arrival.request,
            });
            let outcome = resolved_refusal_outcome(refusal, arrival.request, &resolved);
            actions.push(Action::Record(outcome));
            return Ok(());
        }
        let request = self.new_request(now, arrival, resolved, subjects, bound);
        let expected_end = if is_bound {
            Ok(())
        } else {
            self.check_expected_end(now, &request)
        };
        let admitted = expected_end.and_then(|()| self.make_room(now, rank, actions));
        match admitted {
            Ok(()) => self.enqueue(now, request),
            Err(refusal) => {
                self.team_limits.release(&request.facts.team);
                self.finish_refused(now, &request, refusal, actions);
            }
        }
        Ok(())
    }

    /// Looks up the team and the class, and checks the team's permissions and limits.
    fn resolve(&mut self, arrival: &Arrival, now: Time) -> Result<ResolvedArrival, Refusal> {
        let not_run = Refusal::not_run;
        let Some(numbered) = self.configuration.clone() else {
            return Err(Refusal {
                retry_after: Some(MIN_RETRY_AFTER),
                ..not_run(RefusalReason::NotReady)
            });
        };
        let document = &numbered.document;
        if let Some(routed) = &arrival.routed {
            return self.resolve_routed(document, arrival, routed, now);
        }
        let team_id = arrival
            .key_hash
            .and_then(|key_hash| self.teams_by_key.get(&key_hash))
            .ok_or(not_run(RefusalReason::UnknownKey))?;
        let team = &document.teams[team_id];
        let class_id = arrival.class.as_ref().unwrap_or(&team.default_class);
        let class = document
            .classes
            .get(class_id)
            .ok_or(not_run(RefusalReason::UnknownClass))?;
        if !team.classes.contains(class_id) {
            return Err(not_run(RefusalReason::ClassNotAllowed));
        }
        let service_idempotent = self.check_target(document, &arrival.target)?;
        let is_as_configured = arrival.repeatability == Repeatability::AsConfigured;
        let tier = team.tier.unwrap_or(class.tier);
        let resolved = ResolvedArrival {
            class: class.clone(),
            class_id: class_id.clone(),
            engine_priority: u8::from(tier),
            idempotent: class.idempotent && service_idempotent && is_as_configured,
            plan: team.plan,
            team_id: team_id.clone(),
            tier,
            weight: team.weight,
        };
        self.team_limits.admit(&resolved.team_id, team, now)?;
        Ok(resolved)
    }

    /// Looks up the team of a request that arrives by a route. The class is that of the route, and
    /// the team's list of allowed classes isn't checked: routes are open to all teams.
    fn resolve_routed(
        &mut self,
        document: &Document,
        arrival: &Arrival,
        routed: &RoutedRequest,
        now: Time,
    ) -> Result<ResolvedArrival, Refusal> {
        let class_id = arrival.class.as_ref();
        let (class_id, class) = class_id
            .and_then(|id| document.classes.get_key_value(id))
            .ok_or(Refusal::not_run(RefusalReason::UnknownClass))?;
        let resolved = ResolvedArrival {
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
            return Err(stale_configuration());
        }
        if routed.public {
            return Ok(resolved);
        }
        self.check_configuration_freshness(now)?;
        let team_id = arrival
            .key_hash
            .and_then(|key_hash| self.teams_by_key.get(&key_hash))
            .ok_or_else(|| self.unknown_key_refusal())?;
        let team = &document.teams[team_id];
        self.team_limits.admit(team_id, team, now)?;
        Ok(ResolvedArrival {
            engine_priority: self.urgency.engine_priority(team.tier, class.tier),
            plan: team.plan,
            team_id: team_id.clone(),
            tier: self.urgency.tier(team.tier, class.tier),
            weight: team.weight,
            ..resolved
        })
    }

    /// Refusal of a key that isn't in this host's configuration. If a newer version exists, the key
    /// may have been added there, so the refusal says that the configuration is stale.
    fn unknown_key_refusal(&self) -> Refusal {
        if self.is_behind() {
            stale_configuration()
        } else {
            Refusal::not_run(RefusalReason::UnknownKey)
        }
    }

    /// Refuses to validate a key with a configuration that may be outdated.
    ///
    /// Without this check, a host that is cut off from the store keeps accepting keys that have
    /// been removed, and requests run long after their key was removed. The time limit for removing
    /// a key applies to every host, so a host that can't tell whether its configuration is current
    /// refuses the request.
    fn check_configuration_freshness(&self, now: Time) -> Result<(), Refusal> {
        if self.is_configuration_fresh(now) {
            return Ok(());
        }
        Err(stale_configuration())
    }

    /// Whether the configuration was recently confirmed to be the newest, and no newer version has
    /// been known for too long.
    pub(crate) fn is_configuration_fresh(&self, now: Time) -> bool {
        if self.is_outdated(now) {
            return false;
        }
        let limit = self
            .options
            .relay
            .as_ref()
            .map(|relay| relay.key_knowledge_limit);
        match (limit, self.confirmed_at) {
            (None, _) => true,
            (Some(limit), Some(confirmed)) => now.since(confirmed) < limit,
            (Some(_), None) => false,
        }
    }

    /// Checks that the target exists, and returns whether it may be called more than once for a
    /// request.
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

    /// Refuses a request whose estimated wait in the queue is longer than its deadline. The
    /// estimate counts only queued requests of the same or a more urgent rank, because only those
    /// are served first.
    fn check_queue_wait(
        &mut self,
        target: &Target,
        rank: Rank,
        class: &Class,
    ) -> Result<(), Refusal> {
        let Some(queues) = self.target_queues.get(target) else {
            return Ok(());
        };
        let cost_ahead = queues.cost_ahead(rank) as f64;
        let Some(tokens_per_s) = queues
            .service_rate
            .tokens_per_s(self.pool.slots_for(target))
        else {
            return Ok(());
        };
        let wait_s = cost_ahead / tokens_per_s;
        let deadline_s = class.deadline_ms as f64 / 1_000.0;
        if wait_s <= deadline_s {
            return Ok(());
        }
        let excess = Duration::from_secs_f64(wait_s - deadline_s);
        Err(Refusal {
            retry_after: Some(self.jittered_retry_after(excess)),
            ..Refusal::not_run(RefusalReason::DeadlineUnreachable)
        })
    }

    /// If the queue is full, evicts a strictly less urgent request, or refuses the new one if there
    /// is none.
    fn make_room(
        &mut self,
        now: Time,
        rank: Rank,
        actions: &mut Vec<Action>,
    ) -> Result<(), Refusal> {
        if self.queued_count < self.options.max_queued {
            return Ok(());
        }
        let victim = self
            .target_queues
            .values()
            .filter_map(|queues| queues.eviction_candidate_below(rank))
            .max_by_key(|(rank, item)| (*rank, item.due, item.seq));
        match victim {
            Some((_, item)) => {
                self.refuse_queued(now, item.request, RefusalReason::QueueFull, actions);
                Ok(())
            }
            None => Err(Refusal {
                retry_after: Some(self.jittered_retry_after(MIN_RETRY_AFTER)),
                ..Refusal::not_run(RefusalReason::QueueFull)
            }),
        }
    }

    fn new_request(
        &mut self,
        now: Time,
        arrival: Arrival,
        resolved: ResolvedArrival,
        crash_subjects: Vec<CrashSubject>,
        version_bound: VersionBound,
    ) -> Request<Queued> {
        let output = self.length_estimate.estimate(
            &resolved.class_id,
            &resolved.team_id,
            arrival.max_output,
        );
        let prompt_cost = u64::from(arrival.prompt_tokens.get()) / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
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
        let resumed_stream = arrival.routed.as_ref();
        let resumed_stream = resumed_stream.and_then(|routed| routed.resumed_stream);
        let stream = arrival.routed.as_ref().map(|routed| routed.stream);
        let (parts, public, time_limit) = match arrival.routed {
            Some(routed) => (routed.parts, routed.public, routed.time_limit),
            None => (Vec::new(), false, None),
        };
        let max_duration = Duration::from_millis(resolved.class.deadline_ms);
        let queues = self
            .target_queues
            .entry(arrival.target.clone())
            .or_default();
        let is_long = queues
            .long_prompts
            .observe(prompt_cache::total_tokens(&parts));
        let pause_target_ms = resolved.class.pause_target_ms;
        let pause_bound = pause_target_ms.is_some() && pause_target_ms == self.shortest_pause_ms;
        if let Some(last_part) = parts.last() {
            let prompt_work = u64::from(last_part.tokens.get()) / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
            let work = (u64::from(output.get()) + prompt_work) as f64;
            queues.partition.record_request(now, pause_bound, work);
        }
        let facts = RequestFacts {
            arrived: now,
            between_token_target_ms: resolved.class.between_token_target_ms,
            class: resolved.class_id,
            crash_subjects,
            deadline: now + time_limit.unwrap_or(max_duration).min(max_duration),
            due,
            engine_priority: resolved.engine_priority,
            fingerprint: arrival.fingerprint.for_team(&resolved.team_id),
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
            version_bound,
            rank: Rank::new(resolved.tier, resolved.plan),
            resumable: resolved.class.resumable,
            resumed_stream,
            stream,
            target: arrival.target,
            team: resolved.team_id,
        };
        Request::new(arrival.request, facts, item)
    }

    pub(crate) fn enqueue(&mut self, now: Time, request: Request<Queued>) {
        let facts = &request.facts;
        self.deadlines.insert((facts.deadline, request.id));
        let queues = self.target_queues.entry(facts.target.clone()).or_default();
        queues.push(facts.rank, request.item.clone(), now);
        self.queued_count += 1;
        self.requests.insert(request.id, Stage::Queued(request));
    }

    /// Removes a request from its queue; returns `None` if it isn't queued.
    pub(crate) fn remove_queued(&mut self, now: Time, id: RequestId) -> Option<Request<Queued>> {
        match self.requests.remove(&id)? {
            Stage::Queued(request) => {
                let facts = &request.facts;
                self.deadlines.remove(&(facts.deadline, id));
                if let Some(queues) = self.target_queues.get_mut(&facts.target) {
                    queues.remove(facts.rank, &request.item, now);
                }
                self.queued_count -= 1;
                Some(request)
            }
            other => {
                self.requests.insert(id, other);
                None
            }
        }
    }

    /// Removes a queued request and refuses it.
    pub(crate) fn refuse_queued(
        &mut self,
        now: Time,
        id: RequestId,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        if let Some(request) = self.remove_queued(now, id) {
            self.refuse(now, request, reason, actions);
        }
    }

    /// Returns a `Retry-After` of one to two times the wait, chosen at random, within the limits.
    pub(crate) fn jittered_retry_after(&mut self, wait: Duration) -> Duration {
        let factor = 1.0 + RETRY_AFTER_JITTER * self.rng.random::<f64>();
        wait.max(MIN_RETRY_AFTER)
            .mul_f64(factor)
            .min(MAX_RETRY_AFTER)
    }
}

/// Refusal because the configuration may be outdated. The caller may retry: another host may be up
/// to date, and this one catches up soon.
fn stale_configuration() -> Refusal {
    Refusal {
        retry_after: Some(STALE_RETRY_AFTER),
        ..Refusal::not_run(RefusalReason::ConfigurationStale)
    }
}

fn resolved_refusal_outcome(
    refusal: Refusal,
    request: RequestId,
    resolved: &ResolvedArrival,
) -> Outcome {
    Outcome {
        class: Some(resolved.class_id.clone()),
        team: Some(resolved.team_id.clone()),
        tier: Some(resolved.tier),
        reason: Some(refusal.reason),
        ..Outcome::unresolved(request, refusal.reason.end(), refusal.verdict)
    }
}
