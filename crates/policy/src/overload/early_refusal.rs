//! Which requests the controller refuses because they would end too late.

use super::*;

/// Time for which a class counts as asked for.
const ASKED_FOR: Duration = Duration::from_secs(10);

/// Time between two changes of a level.
const INTERVAL: Duration = Duration::from_millis(250);

/// Part of its time after which a request that ends without an answer counts as late.
const MOST_OF_LIMIT: f64 = 0.9;

/// What a host keeps to decide how much of each class is taken.
#[derive(Debug, Default)]
pub(crate) struct EarlyRefusal {
    classes: BTreeMap<(Target, ClassId), ClassAdmission>,
    loads: BTreeMap<Target, PoolLoad>,
    next_change: Time,
    /// The time of day, and when it was read.
    time_of_day: Option<(Time, u64)>,
}

impl EarlyRefusal {
    pub(crate) fn note_time_of_day(&mut self, now: Time, unix_ms: u64) {
        self.time_of_day = Some((now, unix_ms));
    }

    pub(crate) fn unix_ms(&self, now: Time) -> u64 {
        let (read, unix_ms) = self.time_of_day.unwrap_or_default();
        unix_ms + now.since(read).as_millis() as u64
    }

    fn of(&mut self, target: &Target, class: &ClassId) -> Option<&mut ClassAdmission> {
        self.classes.get_mut(&(target.clone(), class.clone()))
    }

    /// Whether a class may yield: all that are less urgent have yielded.
    fn may_fall(&self, target: &Target, priority: u8) -> bool {
        let mut less_urgent = self
            .classes
            .iter()
            .filter(|((other, _), class)| other == target && class.priority > priority);
        less_urgent.all(|(_, class)| class.level.is_least())
    }
}

impl Controller {
    /// Refuses a request that is expected to end too late, before anything is sent.
    pub(crate) fn check_time(
        &mut self,
        now: Time,
        request: &Request<Queued>,
    ) -> Result<(), Refusal> {
        let facts = &request.facts;
        if self.options.relay.is_none() || !matches!(facts.target, Target::Model(_)) {
            return Ok(());
        }
        let Some(limit) = self.class_limit(&facts.class) else {
            return Ok(());
        };
        let unix_ms = self.early_refusal.unix_ms(now);
        let key = (facts.target.clone(), facts.class.clone());
        let classes = self.early_refusal.classes.entry(key);
        let class = classes.or_insert_with(|| ClassAdmission::new(facts.engine_priority));
        class.asked = now;
        class.priority = class.priority.min(facts.engine_priority);
        let left = facts.deadline.since(now);
        class.end.note_limit(left, class.level.is_full());
        if class.level.is_full() {
            return Ok(());
        }
        let load = self.early_refusal.loads.get(&facts.target);
        if load.is_some_and(|load| load.has_room(left)) {
            return Ok(());
        }
        let place = facts.fingerprint.to_u64() as f64 / u64::MAX as f64;
        let round = ReturnSchedule::round(limit);
        let ahead = ReturnSchedule::ahead(place, unix_ms, round);
        let goes_first = class.end.came_back(left);
        if (goes_first || ahead < class.level.get()) && class.expected <= left {
            return Ok(());
        }
        let room = class.end.begun_in(now, round);
        let spare = left.saturating_sub(class.expected);
        let longest = ReturnSchedule::longest(left).min(spare);
        let retry_after = class.schedule.give(now, ahead, round, longest, room);
        Err(Refusal {
            retry_after,
            ..Refusal::not_run(RefusalReason::NoTimeLeft)
        })
    }

    /// The longest time that callers of a class are kept waiting.
    fn class_limit(&self, class: &ClassId) -> Option<Duration> {
        let document = &self.configuration.as_ref()?.document;
        let class = document.classes.get(class)?;
        Some(Duration::from_millis(class.deadline_ms))
    }

    /// Time in which a request is expected to end that is sent now.
    pub(crate) fn expected_end(&mut self, facts: &RequestFacts) -> Option<Duration> {
        let class = self.early_refusal.of(&facts.target, &facts.class)?;
        Some(class.expected)
    }

    /// A first token came for a request that was sent so long ago.
    pub(crate) fn note_first_token(
        &mut self,
        now: Time,
        target: &Target,
        class: &ClassId,
        waited: Duration,
    ) {
        if let Some(class) = self.early_refusal.of(target, class) {
            class.end.note_first_token(now, waited);
        }
    }

    /// The answer of a request ended.
    pub(crate) fn note_answer_end(&mut self, now: Time, request: &Request<Running>) {
        let facts = &request.facts;
        if let Some(began) = request.began()
            && let Some(class) = self.early_refusal.of(&facts.target, &facts.class)
        {
            class.end.note_answer(now, now.since(began));
        }
    }

    /// A request ended without its whole answer; it counts if its caller's time was over.
    pub(crate) fn note_unfinished(&mut self, now: Time, request: &Request<Running>) {
        let facts = &request.facts;
        let limit = facts.deadline.since(facts.arrived);
        if now.since(facts.arrived) < limit.mul_f64(MOST_OF_LIMIT) {
            return;
        }
        if request.began().is_some() {
            self.note_answer_end(now, request);
            return;
        }
        let waited = now.since(request.stage.sent);
        self.note_first_token(now, &facts.target, &facts.class, waited);
    }

    /// Moves the levels.
    pub(crate) fn tick_early_refusal(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.early_refusal.classes.is_empty() || now < self.early_refusal.next_change {
            return;
        }
        self.early_refusal.next_change = now + INTERVAL;
        let classes = &mut self.early_refusal.classes;
        classes.retain(|_, class| now.since(class.asked) < ASKED_FOR);
        let mut order: Vec<(Target, u8, ClassId)> = classes
            .iter()
            .map(|((target, id), class)| (target.clone(), class.priority, id.clone()))
            .collect();
        order.sort();
        self.early_refusal.loads = self.pool_loads(now);
        let mut going_on = self.going_on(now);
        let mut last: Option<Target> = None;
        // The least urgent class of each target waits behind all that is there.
        for (target, priority, id) in order.into_iter().rev() {
            let load = self.early_refusal.loads.get(&target).copied();
            let load = load.unwrap_or_default();
            let is_last = last.as_ref() != Some(&target);
            last = Some(target.clone());
            let ahead = if is_last {
                load.waiting
            } else {
                Duration::ZERO
            };
            let may_fall = self.early_refusal.may_fall(&target, priority);
            let key = (target, id);
            let going_on = going_on.remove(&key).unwrap_or_default();
            if let Some(class) = self.early_refusal.classes.get_mut(&key)
                && class.follow(now, ahead, &going_on, &load, may_fall)
            {
                let (target, id) = key;
                actions.push(Action::NoteAdmission(AdmissionNoted {
                    class: id,
                    expected: class.expected,
                    level: class.level.get(),
                    limit: class.end.usual_limit().unwrap_or_default(),
                    target,
                }));
            }
        }
    }

    /// Work at the engines of each target.
    fn pool_loads(&self, now: Time) -> BTreeMap<Target, PoolLoad> {
        let observed = self.neighbors.observed(now).len() + 1;
        let hosts_for_each = self.neighbors.listed().max(observed) as f64 / observed as f64;
        let targets = self.early_refusal.classes.keys().map(|(target, _)| target);
        let loads = targets.map(|target| {
            let states = self.pool.upstreams_of(target);
            let open = states.filter(|state| state.is_available(now));
            (target.clone(), PoolLoad::of(open, hosts_for_each))
        });
        loads.collect()
    }

    /// This host's requests at upstreams, by target and class.
    fn going_on(&self, now: Time) -> BTreeMap<(Target, ClassId), GoingOn> {
        let mut going_on: BTreeMap<(Target, ClassId), GoingOn> = BTreeMap::new();
        for stage in self.requests.values() {
            let Stage::Running(request) = stage else {
                continue;
            };
            let facts = &request.facts;
            let class = going_on.entry((facts.target.clone(), facts.class.clone()));
            let class = class.or_default();
            match request.began() {
                Some(began) => class.answering.push(now.since(began)),
                None => class.waiting.push(now.since(request.stage.sent)),
            }
        }
        going_on
    }
}
