use super::*;

/// All upstreams, and the choice between them.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) affinity: Affinity,
    /// Until when upstreams want nothing from this host.
    pub(crate) backoffs: HashMap<UpstreamId, Time>,
    /// Upstreams that the hosts of all failure domains know; `None` where that is each of them.
    pub(crate) common: Option<BTreeSet<UpstreamId>>,
    /// Upstreams that said that they leave.
    pub(crate) departures: Departures,
    pub(crate) groups: Vec<Group>,
    /// Whether any upstream names a limit.
    pub(crate) has_limits: bool,
    pub(crate) index: HashMap<UpstreamId, usize>,
    /// Limits of upstreams whose entries have lapsed.
    pub(crate) lapsed_limits: HashMap<UpstreamId, UpstreamLimit>,
    /// Upstreams that are leaving by the platform's list. It may be read before
    /// the configuration that names them, so it is kept apart from the states.
    pub(crate) listed_leaving: BTreeSet<UpstreamId>,
    /// When what was learned of the engines' speeds is looked at next.
    pub(crate) next_speed_review: Time,
    pub(crate) room: SlotRules,
    /// Counts the times that shares were set.
    pub(crate) shares_version: u64,
    pub(crate) silent: SilentDomains,
    /// Whether the upstreams of all failure domains are used alike.
    spread: bool,
    pub(crate) states: Vec<UpstreamState>,
    pub(crate) targets: HashMap<Target, Places>,
}

/// Where the upstreams of one target are, by their failure domain.
#[derive(Debug, Default)]
pub(crate) struct Places {
    pub(crate) foreign: Vec<usize>,
    /// Groups of its own ones.
    pub(crate) groups: Vec<usize>,
    pub(crate) own: Vec<usize>,
}

impl Pool {
    pub(crate) fn new(room: SlotRules, spread: bool) -> Self {
        Self {
            room,
            spread,
            ..Self::default()
        }
    }

    /// Follows a new set of upstreams. Those that are gone from it get no new
    /// work and are forgotten once their last request has ended.
    pub(crate) fn apply(
        &mut self,
        upstreams: &BTreeMap<UpstreamId, Upstream>,
        domain: &FailureDomainId,
    ) {
        let lapsed_limits = &mut self.lapsed_limits;
        self.states.retain_mut(|state| {
            let keep = match upstreams.get(&state.id) {
                Some(definition) if definition.address() == state.definition.address() => {
                    state.definition.clone_from(definition);
                    state.removed = false;
                    true
                }
                Some(_) => false,
                None => {
                    state.removed = true;
                    state.in_flight > 0
                }
            };
            if !keep && state.limit.rate().is_some() {
                lapsed_limits.insert(state.id.clone(), std::mem::take(&mut state.limit));
            }
            keep
        });
        let known: HashSet<UpstreamId> = self.states.iter().map(|state| state.id.clone()).collect();
        let new = upstreams.iter().filter(|(id, _)| !known.contains(*id));
        let new = new.map(|(id, definition)| UpstreamState::new(id.clone(), definition.clone()));
        self.states.extend(new);
        self.states
            .sort_by(|a, b| (a.removed, &a.id).cmp(&(b.removed, &b.id)));
        self.reindex(domain);
        self.mark_backing_off();
        self.mark_leaving();
    }

    /// Sets this host's share of each group, given its name and slots, and of
    /// each upstream of another domain, given its slots.
    pub(crate) fn set_shares(
        &mut self,
        own: impl Fn(&str, u32) -> Share,
        foreign: impl Fn(u32) -> u32,
    ) {
        self.shares_version += 1;
        for state in &mut self.states {
            state.foreign_share = foreign(state.definition.slots());
            state.home = 0;
        }
        for group in &mut self.groups {
            group.share = own(&group.name, group.slots);
            let mut first = 0;
            for (number, place) in group.places.iter().enumerate() {
                let state = &mut self.states[*place];
                let kept = even_part(group.share.headroom, group.places.len(), number);
                let slots = state.definition.slots().saturating_sub(kept);
                state.home = group.share.overlap(first, slots);
                first += slots;
            }
        }
    }

    /// This host's share of the group that an upstream is in.
    pub(crate) fn share(&self, id: &UpstreamId) -> Option<u32> {
        let group = self.get(id)?.group?;
        Some(self.groups[group].share.slots)
    }

    /// The groups of the own domain, as its coordinator divides them.
    pub(crate) fn divided(&self) -> Vec<GroupCapacity> {
        let groups = self.groups.iter();
        groups
            .map(|group| GroupCapacity {
                name: group.name.clone(),
                slots: group.slots,
                targets: group.name.split(',').map(str::to_string).collect(),
            })
            .collect()
    }

    /// Follows a new reading of the platform's list.
    pub(crate) fn note_listed(&mut self, leaving: BTreeSet<UpstreamId>) {
        self.listed_leaving = leaving;
        self.mark_leaving();
    }

    /// Ids of the upstreams for which something holds.
    pub(crate) fn select(&self, holds: impl Fn(&UpstreamState) -> bool) -> Vec<UpstreamId> {
        let states = self.states.iter().filter(|state| holds(state));
        states.map(|state| state.id.clone()).collect()
    }

    fn reindex(&mut self, domain: &FailureDomainId) {
        self.index.clear();
        self.targets.clear();
        self.groups.clear();
        let mut names: BTreeMap<String, usize> = BTreeMap::new();
        for (place, state) in self.states.iter_mut().enumerate() {
            self.index.insert(state.id.clone(), place);
            let targets = targets_of(&state.definition);
            let common = self.common.as_ref();
            state.is_common = common.is_none_or(|common| common.contains(&state.id));
            state.near = state.definition.failure_domain() == domain;
            let own = self.spread || state.near;
            state.group = own.then(|| {
                let name = Group::name_of(&targets);
                *names.entry(name.clone()).or_insert_with(|| {
                    self.groups.push(Group {
                        name,
                        ..Group::default()
                    });
                    self.groups.len() - 1
                })
            });
            if let Some(group) = state.group {
                let group = &mut self.groups[group];
                group.in_flight += state.in_flight;
                group.in_flight_trial += state.in_flight_trial;
                if !state.removed {
                    group.places.push(place);
                    group.slots += state.definition.slots();
                }
            }
            for target in targets {
                let places = self.targets.entry(target).or_default();
                match state.group {
                    Some(group) => {
                        places.own.push(place);
                        if !places.groups.contains(&group) {
                            places.groups.push(group);
                        }
                    }
                    None => places.foreign.push(place),
                }
            }
        }
    }

    pub(crate) fn serves(&self, target: &Target) -> bool {
        self.targets.contains_key(target)
    }

    pub(crate) fn get(&self, id: &UpstreamId) -> Option<&UpstreamState> {
        self.index.get(id).map(|place| &self.states[*place])
    }

    pub(crate) fn get_mut(&mut self, id: &UpstreamId) -> Option<&mut UpstreamState> {
        self.index.get(id).map(|place| &mut self.states[*place])
    }

    /// Slots that this host may fill for a target.
    pub(crate) fn slots_for(&self, target: &Target) -> u32 {
        let Some(places) = self.targets.get(target) else {
            return 0;
        };
        let groups = places.groups.iter();
        let own: u32 = groups.map(|group| self.groups[*group].share.slots).sum();
        let foreign = places.foreign.iter();
        let foreign: u32 = foreign.map(|place| self.states[*place].foreign_share).sum();
        let slots = if own > 0 { own } else { foreign };
        slots.min(self.brittle_slots(target).unwrap_or(u32::MAX))
    }

    /// All upstreams of a target.
    pub(crate) fn copies(&self, target: &Target) -> impl Iterator<Item = &UpstreamState> + Clone {
        let places = self.targets.get(target).into_iter();
        let places = places.flat_map(|places| places.own.iter().chain(&places.foreign));
        places.map(|place| &self.states[*place])
    }

    /// Targets that an upstream serves.
    pub(crate) fn targets_of(&self, id: &UpstreamId) -> Vec<Target> {
        self.get(id)
            .map_or(Vec::new(), |state| targets_of(&state.definition))
    }

    /// Takes a slot.
    pub(crate) fn start(&mut self, id: &UpstreamId, facts: &RequestFacts, now: Time) {
        if let Some(prefix) = facts.prefix {
            self.affinity.note(prefix, id);
        }
        let trial = u32::from(facts.rank.plan == Plan::Trial);
        let Some(state) = self.get_mut(id) else {
            return;
        };
        state.start(facts, now);
        if let Some(group) = state.group {
            self.groups[group].in_flight += 1;
            self.groups[group].in_flight_trial += trial;
        }
    }

    /// Gives a slot back.
    pub(crate) fn end(&mut self, id: &UpstreamId, facts: &RequestFacts, now: Time) {
        let trial = u32::from(facts.rank.plan == Plan::Trial);
        let Some(state) = self.get_mut(id) else {
            return;
        };
        state.end(facts, now);
        if let Some(group) = state.group {
            let group = &mut self.groups[group];
            group.in_flight = group.in_flight.saturating_sub(1);
            group.in_flight_trial = group.in_flight_trial.saturating_sub(trial);
        }
    }
}

pub(crate) fn targets_of(definition: &Upstream) -> Vec<Target> {
    match definition {
        Upstream::Engine(engine) => engine.models.iter().cloned().map(Target::Model).collect(),
        Upstream::Service(replica) => vec![Target::Service(replica.service.clone())],
    }
}

/// One place's part of a number that is spread evenly over places.
fn even_part(number: u32, places: usize, place: usize) -> u32 {
    let places = places.max(1) as u32;
    number / places + u32::from((place as u32) < number % places)
}
