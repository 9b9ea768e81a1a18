use super::*;

/// All upstreams that this host knows.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    pub(crate) affinity: Affinity,
    /// Backoffs that upstreams asked this host for, with the time until which they last.
    pub(crate) backoffs: HashMap<UpstreamId, Time>,
    /// Upstreams that the hosts of all failure domains know; `None` if these are all upstreams.
    pub(crate) common_ids: Option<BTreeSet<UpstreamId>>,
    /// Upstreams that announced that they are leaving.
    pub(crate) departures: Departures,
    pub(crate) groups: Vec<Group>,
    /// Whether any upstream names a rate limit.
    pub(crate) has_limits: bool,
    /// Index of each upstream in `states`.
    pub(crate) index_by_id: HashMap<UpstreamId, usize>,
    /// Rate limits of upstreams whose directory entries expired. They apply again when the
    /// upstreams are listed again.
    pub(crate) expired_limits: HashMap<UpstreamId, UpstreamLimit>,
    /// Upstreams that are leaving according to the platform. The platform's list may be read before
    /// the configuration that names the upstreams, so it is kept apart from `states`.
    pub(crate) listed_leaving: BTreeSet<UpstreamId>,
    /// When the observed speeds of the engines are evaluated next.
    pub(crate) next_speed_review: Time,
    pub(crate) room_rules: SlotRules,
    /// Counts how often shares were set.
    pub(crate) shares_version: u64,
    pub(crate) silent_domains: SilentDomains,
    /// Whether upstreams of all failure domains are used alike.
    ignores_domains: bool,
    pub(crate) states: Vec<UpstreamState>,
    /// Upstreams of each target.
    pub(crate) targets: HashMap<Target, TargetUpstreams>,
}

/// Upstreams of one target, as indexes into [`Pool::states`].
#[derive(Debug, Default)]
pub(crate) struct TargetUpstreams {
    /// Upstreams of other failure domains; empty if the pool ignores domains.
    pub(crate) remote: Vec<usize>,
    /// Indexes of the groups in [`Pool::groups`] that serve the target.
    pub(crate) groups: Vec<usize>,
    /// Upstreams that belong to a group: those of this host's failure domain, or all if the pool
    /// ignores domains.
    pub(crate) grouped: Vec<usize>,
}

impl Pool {
    pub(crate) fn new(room_rules: SlotRules, ignores_domains: bool) -> Self {
        Self {
            room_rules,
            ignores_domains,
            ..Self::default()
        }
    }

    /// Replaces the set of upstreams. Upstreams that are no longer in the set get no new requests
    /// and are dropped once their last request has ended.
    pub(crate) fn update_upstreams(
        &mut self,
        upstreams: &BTreeMap<UpstreamId, Upstream>,
        domain: &FailureDomainId,
    ) {
        let expired_limits = &mut self.expired_limits;
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
                expired_limits.insert(state.id.clone(), std::mem::take(&mut state.limit));
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

    /// Sets this host's share of each group from its name and slots, and of each upstream of
    /// another failure domain from its slots.
    pub(crate) fn set_shares(
        &mut self,
        group_share: impl Fn(&str, u32) -> Share,
        remote_share: impl Fn(u32) -> u32,
    ) {
        self.shares_version += 1;
        for state in &mut self.states {
            state.remote_share = remote_share(state.definition.slots());
            state.own_slots = 0;
        }
        for group in &mut self.groups {
            group.share = group_share(&group.name, group.slots);
            let mut first = 0;
            for (position, index) in group.upstream_indexes.iter().enumerate() {
                let state = &mut self.states[*index];
                let headroom =
                    even_share(group.share.headroom, group.upstream_indexes.len(), position);
                let slots = state.definition.slots().saturating_sub(headroom);
                state.own_slots = group.share.overlap(first, slots);
                first += slots;
            }
        }
    }

    /// This host's share of the group that an upstream belongs to, in slots.
    pub(crate) fn share(&self, id: &UpstreamId) -> Option<u32> {
        let group = self.get(id)?.group?;
        Some(self.groups[group].share.slots)
    }

    /// The groups whose slots the coordinator of the failure domain divides among the hosts.
    pub(crate) fn groups_to_divide(&self) -> Vec<GroupCapacity> {
        let groups = self.groups.iter();
        groups
            .map(|group| GroupCapacity {
                name: group.name.clone(),
                slots: group.slots,
                targets: group.name.split(',').map(str::to_string).collect(),
            })
            .collect()
    }

    /// Replaces the upstreams that are leaving according to the platform.
    pub(crate) fn set_listed_leaving(&mut self, leaving: BTreeSet<UpstreamId>) {
        self.listed_leaving = leaving;
        self.mark_leaving();
    }

    /// Ids of the upstreams for which a predicate holds.
    pub(crate) fn select(&self, holds: impl Fn(&UpstreamState) -> bool) -> Vec<UpstreamId> {
        let states = self.states.iter().filter(|state| holds(state));
        states.map(|state| state.id.clone()).collect()
    }

    /// Rebuilds groups and indexes from the states.
    fn reindex(&mut self, domain: &FailureDomainId) {
        self.index_by_id.clear();
        self.targets.clear();
        self.groups.clear();
        let mut group_by_name: BTreeMap<String, usize> = BTreeMap::new();
        for (index, state) in self.states.iter_mut().enumerate() {
            self.index_by_id.insert(state.id.clone(), index);
            let targets = targets_of(&state.definition);
            let common_ids = self.common_ids.as_ref();
            state.is_common = common_ids.is_none_or(|common_ids| common_ids.contains(&state.id));
            state.is_local = state.definition.failure_domain() == domain;
            let is_grouped = self.ignores_domains || state.is_local;
            state.group = is_grouped.then(|| {
                let name = Group::name_of(&targets);
                *group_by_name.entry(name.clone()).or_insert_with(|| {
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
                    group.upstream_indexes.push(index);
                    group.slots = group.slots.saturating_add(state.definition.slots());
                }
            }
            for target in targets {
                let upstreams = self.targets.entry(target).or_default();
                match state.group {
                    Some(group) => {
                        upstreams.grouped.push(index);
                        if !upstreams.groups.contains(&group) {
                            upstreams.groups.push(group);
                        }
                    }
                    None => upstreams.remote.push(index),
                }
            }
        }
    }

    pub(crate) fn serves(&self, target: &Target) -> bool {
        self.targets.contains_key(target)
    }

    pub(crate) fn get(&self, id: &UpstreamId) -> Option<&UpstreamState> {
        self.index_by_id.get(id).map(|index| &self.states[*index])
    }

    pub(crate) fn get_mut(&mut self, id: &UpstreamId) -> Option<&mut UpstreamState> {
        self.index_by_id
            .get(id)
            .map(|index| &mut self.states[*index])
    }

    /// Slots that this host may use for a target.
    pub(crate) fn slots_for(&self, target: &Target) -> u32 {
        let Some(upstreams) = self.targets.get(target) else {
            return 0;
        };
        let groups = upstreams.groups.iter();
        let grouped: u32 = groups.map(|group| self.groups[*group].share.slots).sum();
        let remote = upstreams.remote.iter();
        let remote: u32 = remote.map(|index| self.states[*index].remote_share).sum();
        let slots = if grouped > 0 { grouped } else { remote };
        slots.min(self.guaranteed_target_slots(target).unwrap_or(u32::MAX))
    }

    /// All upstreams of a target.
    pub(crate) fn upstreams_of(
        &self,
        target: &Target,
    ) -> impl Iterator<Item = &UpstreamState> + Clone {
        let upstreams = self.targets.get(target).into_iter();
        let upstreams =
            upstreams.flat_map(|upstreams| upstreams.grouped.iter().chain(&upstreams.remote));
        upstreams.map(|index| &self.states[*index])
    }

    /// Targets that an upstream serves.
    pub(crate) fn targets_of(&self, id: &UpstreamId) -> Vec<Target> {
        self.get(id)
            .map_or(Vec::new(), |state| targets_of(&state.definition))
    }

    /// Takes a slot for a request.
    pub(crate) fn start_request(&mut self, id: &UpstreamId, facts: &RequestFacts, now: Time) {
        if let Some(prefix) = facts.prefix {
            self.affinity.note(prefix, id);
        }
        let trial = u32::from(facts.rank.plan == Plan::Trial);
        let Some(state) = self.get_mut(id) else {
            return;
        };
        state.start_request(facts, now);
        if let Some(group) = state.group {
            self.groups[group].in_flight += 1;
            self.groups[group].in_flight_trial += trial;
        }
    }

    /// Releases the slot of a request.
    pub(crate) fn end_request(&mut self, id: &UpstreamId, facts: &RequestFacts, now: Time) {
        let trial = u32::from(facts.rank.plan == Plan::Trial);
        let Some(state) = self.get_mut(id) else {
            return;
        };
        state.end_request(facts, now);
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

/// Part of a total that is divided evenly. The first parts get the remainder.
fn even_share(total: u32, parts: usize, index: usize) -> u32 {
    let parts = parts.max(1) as u32;
    total / parts + u32::from((index as u32) < total % parts)
}
