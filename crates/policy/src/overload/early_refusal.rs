//! Early refusal: refuses requests that are expected to end after their deadline.

use super::*;

/// Time after its last request for which a class counts as active.
const CLASS_ACTIVITY_WINDOW: Duration = Duration::from_secs(10);

/// Time between two updates of the admission levels.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// Fraction of its time limit after which a request that ends without its whole answer counts as
/// late.
const LATE_LIMIT_SHARE: f64 = 0.9;

/// Admission state of all classes on this host.
#[derive(Debug, Default)]
pub(crate) struct EarlyRefusal {
    classes: BTreeMap<(Target, ClassId), ClassAdmission>,
    loads: BTreeMap<Target, PoolLoad>,
    next_update: Time,
    /// Time of day as Unix time in milliseconds, and when it was read.
    wall_clock: Option<(Time, u64)>,
}

impl EarlyRefusal {
    pub(crate) fn note_time_of_day(&mut self, now: Time, unix_ms: u64) {
        self.wall_clock = Some((now, unix_ms));
    }

    pub(crate) fn unix_ms(&self, now: Time) -> u64 {
        let (read_at, unix_ms) = self.wall_clock.unwrap_or_default();
        unix_ms + now.since(read_at).as_millis() as u64
    }

    fn class_mut(&mut self, target: &Target, class: &ClassId) -> Option<&mut ClassAdmission> {
        self.classes.get_mut(&(target.clone(), class.clone()))
    }

    /// Whether the level of a class may decrease: only once the levels of all less urgent classes
    /// of the target are at the minimum.
    fn may_decrease(&self, target: &Target, priority: u8) -> bool {
        let mut less_urgent = self
            .classes
            .iter()
            .filter(|((other, _), class)| other == target && class.priority > priority);
        less_urgent.all(|(_, class)| class.level.is_min())
    }
}

impl Controller {
    /// Refuses a request that is expected to end too late, before an attempt is sent.
    pub(crate) fn check_expected_end(
        &mut self,
        now: Time,
        request: &Request<Queued>,
    ) -> Result<(), Refusal> {
        let facts = &request.facts;
        if self.options.relay.is_none() || !matches!(facts.target, Target::Model(_)) {
            return Ok(());
        }
        let Some(limit) = self.class_time_limit(&facts.class) else {
            return Ok(());
        };
        let unix_ms = self.early_refusal.unix_ms(now);
        let key = (facts.target.clone(), facts.class.clone());
        let classes = self.early_refusal.classes.entry(key);
        let class = classes.or_insert_with(|| ClassAdmission::new(facts.engine_priority));
        class.last_requested = now;
        class.priority = class.priority.min(facts.engine_priority);
        let time_left = facts.deadline.since(now);
        class
            .expected_end
            .note_time_limit(time_left, class.level.is_full());
        if class.level.is_full() {
            return Ok(());
        }
        let load = self.early_refusal.loads.get(&facts.target);
        if load.is_some_and(|load| load.has_room(time_left)) {
            return Ok(());
        }
        let ring_position = facts.fingerprint.to_u64() as f64 / u64::MAX as f64;
        let period = RetrySchedule::period(limit);
        let window_distance = RetrySchedule::window_distance(ring_position, unix_ms, period);
        let is_retry = class.expected_end.is_retry(time_left);
        if (is_retry || window_distance < class.level.get()) && class.expected_duration <= time_left
        {
            return Ok(());
        }
        let max_scheduled = class.expected_end.expected_first_tokens(now, period);
        let spare_time = time_left.saturating_sub(class.expected_duration);
        let max_delay = RetrySchedule::max_delay(time_left).min(spare_time);
        let retry_after = class.retry_schedule.schedule_retry(
            now,
            window_distance,
            period,
            max_delay,
            max_scheduled,
        );
        Err(Refusal {
            retry_after,
            ..Refusal::not_run(RefusalReason::NoTimeLeft)
        })
    }

    /// Longest time that a request of a class may take.
    fn class_time_limit(&self, class: &ClassId) -> Option<Duration> {
        let document = &self.configuration.as_ref()?.document;
        let class = document.classes.get(class)?;
        Some(Duration::from_millis(class.deadline_ms))
    }

    /// Expected duration of a request that is sent now.
    pub(crate) fn expected_duration(&mut self, facts: &RequestFacts) -> Option<Duration> {
        let class = self.early_refusal.class_mut(&facts.target, &facts.class)?;
        Some(class.expected_duration)
    }

    /// Notes that the first token of a request came after `waited`, counted from when the request
    /// was sent.
    pub(crate) fn note_first_token(
        &mut self,
        now: Time,
        target: &Target,
        class: &ClassId,
        waited: Duration,
    ) {
        if let Some(class) = self.early_refusal.class_mut(target, class) {
            class.expected_end.note_first_token(now, waited);
        }
    }

    /// Notes that the answer of a request ended.
    pub(crate) fn note_answer_end(&mut self, now: Time, request: &Request<Running>) {
        let facts = &request.facts;
        if let Some(began) = request.first_token_at()
            && let Some(class) = self.early_refusal.class_mut(&facts.target, &facts.class)
        {
            class.expected_end.note_answer(now, now.since(began));
        }
    }

    /// Notes a request that ended without its whole answer, if its time limit was almost over. Its
    /// duration so far is then counted as that of an answer or of a wait for the first token.
    pub(crate) fn note_unfinished(&mut self, now: Time, request: &Request<Running>) {
        let facts = &request.facts;
        let limit = facts.deadline.since(facts.arrived);
        if now.since(facts.arrived) < limit.mul_f64(LATE_LIMIT_SHARE) {
            return;
        }
        if request.first_token_at().is_some() {
            self.note_answer_end(now, request);
            return;
        }
        let waited = now.since(request.stage.sent);
        self.note_first_token(now, &facts.target, &facts.class, waited);
    }

    /// Updates the admission levels.
    pub(crate) fn tick_early_refusal(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.early_refusal.classes.is_empty() || now < self.early_refusal.next_update {
            return;
        }
        self.early_refusal.next_update = now + UPDATE_INTERVAL;
        let classes = &mut self.early_refusal.classes;
        classes.retain(|_, class| now.since(class.last_requested) < CLASS_ACTIVITY_WINDOW);
        let mut order: Vec<(Target, u8, ClassId)> = classes
            .iter()
            .map(|((target, id), class)| (target.clone(), class.priority, id.clone()))
            .collect();
        order.sort();
        self.early_refusal.loads = self.pool_loads(now);
        let mut in_flight = self.in_flight_durations(now);
        let mut previous_target: Option<Target> = None;
        // Classes are visited from the least to the most urgent. The work queued at the upstreams
        // delays only the least urgent class of each target, which waits behind all of it.
        for (target, priority, id) in order.into_iter().rev() {
            let load = self.early_refusal.loads.get(&target).copied();
            let load = load.unwrap_or_default();
            let is_least_urgent = previous_target.as_ref() != Some(&target);
            previous_target = Some(target.clone());
            let queue_wait = if is_least_urgent {
                load.queue_wait
            } else {
                Duration::ZERO
            };
            let may_decrease = self.early_refusal.may_decrease(&target, priority);
            let key = (target, id);
            let in_flight = in_flight.remove(&key).unwrap_or_default();
            if let Some(class) = self.early_refusal.classes.get_mut(&key)
                && class.update(now, queue_wait, &in_flight, &load, may_decrease)
            {
                let (target, id) = key;
                actions.push(Action::NoteAdmission(AdmissionChange {
                    class: id,
                    expected_duration: class.expected_duration,
                    level: class.level.get(),
                    usual_time_limit: class.expected_end.usual_time_limit().unwrap_or_default(),
                    target,
                }));
            }
        }
    }

    /// Load of the upstreams of each target.
    fn pool_loads(&self, now: Time) -> BTreeMap<Target, PoolLoad> {
        let observed = self.neighbors.hosts_with_fresh_notes(now).len() + 1;
        let hosts_per_observed =
            self.neighbors.installation_size().max(observed) as f64 / observed as f64;
        let targets = self.early_refusal.classes.keys().map(|(target, _)| target);
        let loads = targets.map(|target| {
            let states = self.pool.upstreams_of(target);
            let accepting = states.filter(|state| state.is_available(now));
            (target.clone(), PoolLoad::new(accepting, hosts_per_observed))
        });
        loads.collect()
    }

    /// Durations of this host's requests at upstreams, by target and class.
    fn in_flight_durations(&self, now: Time) -> BTreeMap<(Target, ClassId), InFlightDurations> {
        let mut in_flight: BTreeMap<(Target, ClassId), InFlightDurations> = BTreeMap::new();
        for stage in self.requests.values() {
            let Stage::Running(request) = stage else {
                continue;
            };
            let facts = &request.facts;
            let class = in_flight.entry((facts.target.clone(), facts.class.clone()));
            let class = class.or_default();
            match request.first_token_at() {
                Some(began) => class.answering.push(now.since(began)),
                None => class.waiting.push(now.since(request.stage.sent)),
            }
        }
        in_flight
    }
}
