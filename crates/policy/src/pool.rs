use super::*;

/// How much fuller than the least full upstream the one with the cached
/// prefix may be and still be chosen.
const AFFINITY_SLACK: f64 = 0.25;

/// At least one in so many upstreams of a target stays in use, however many
/// have failed.
const KEEP_ONE_IN: usize = 2;

/// What a request asks of its upstream.
#[derive(Debug)]
pub(crate) struct Wish<'a> {
    /// Upstreams that it has failed on.
    pub(crate) avoid: &'a [UpstreamId],
    /// Token time that it needs; `None` if it can miss its target anyway.
    pub(crate) pace_ms: Option<u64>,
    pub(crate) prefix: Option<PrefixHash>,
    pub(crate) rank: Rank,
    pub(crate) target: &'a Target,
}

/// All upstreams, and the choice between them.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    affinity: Affinity,
    index: HashMap<UpstreamId, usize>,
    /// Upstreams that are leaving by the platform's list. It may be read before
    /// the configuration that names them, so it is kept apart from the states.
    listed_leaving: BTreeSet<UpstreamId>,
    room: RoomRules,
    states: Vec<UpstreamState>,
    targets: HashMap<Target, Places>,
}

/// Where the upstreams of one target are, by their failure domain.
#[derive(Debug, Default)]
struct Places {
    foreign: Vec<usize>,
    own: Vec<usize>,
}

impl Pool {
    pub(crate) fn new(room: RoomRules) -> Self {
        Self {
            room,
            ..Self::default()
        }
    }

    /// Follows a new configuration. Upstreams that are gone from it get no new
    /// work and are forgotten once their last request has ended.
    pub(crate) fn apply(&mut self, document: &Document, domain: &FailureDomainId) {
        self.room.trial_share = document.trial.max_slot_share;
        let mut old: BTreeMap<UpstreamId, UpstreamState> = std::mem::take(&mut self.states)
            .into_iter()
            .map(|state| (state.id.clone(), state))
            .collect();
        for (id, definition) in &document.upstreams {
            let state = match old.remove(id) {
                Some(mut state) if state.definition.address() == definition.address() => {
                    state.definition = definition.clone();
                    state.removed = false;
                    state
                }
                _ => UpstreamState::new(id.clone(), definition.clone()),
            };
            self.states.push(state);
        }
        for (_, mut state) in old {
            if state.in_flight > 0 && !document.upstreams.contains_key(&state.id) {
                state.removed = true;
                self.states.push(state);
            }
        }
        self.reindex(domain);
        self.mark_listed();
    }

    /// Sets this host's share of each upstream.
    pub(crate) fn set_shares(&mut self, share: impl Fn(&UpstreamState) -> u32) {
        for state in &mut self.states {
            state.share = share(state);
        }
    }

    /// The upstreams of a failure domain, as its steward divides them.
    pub(crate) fn divided(&self, domain: &FailureDomainId) -> Vec<Divided<'_>> {
        let states = self.states.iter();
        states
            .filter(|state| state.definition.failure_domain() == domain && !state.removed)
            .map(|state| Divided {
                id: &state.id,
                slots: state.definition.slots(),
                targets: targets_of(&state.definition)
                    .iter()
                    .map(Target::to_string)
                    .collect(),
            })
            .collect()
    }

    /// Follows a new reading of the platform's list.
    pub(crate) fn note_listed(&mut self, leaving: BTreeSet<UpstreamId>) {
        self.listed_leaving = leaving;
        self.mark_listed();
    }

    fn mark_listed(&mut self) {
        for state in &mut self.states {
            state.listed_leaving = self.listed_leaving.contains(&state.id);
        }
    }

    /// Ids of the upstreams for which something holds.
    pub(crate) fn select(&self, holds: impl Fn(&UpstreamState) -> bool) -> Vec<UpstreamId> {
        let states = self.states.iter().filter(|state| holds(state));
        states.map(|state| state.id.clone()).collect()
    }

    fn reindex(&mut self, domain: &FailureDomainId) {
        self.index.clear();
        self.targets.clear();
        for (place, state) in self.states.iter().enumerate() {
            self.index.insert(state.id.clone(), place);
            for target in targets_of(&state.definition) {
                let places = self.targets.entry(target).or_default();
                if state.definition.failure_domain() == domain {
                    places.own.push(place);
                } else {
                    places.foreign.push(place);
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

    /// Chooses the upstream for a request: among those with room the least
    /// full, unless one that has served the same prefix is about as free.
    pub(crate) fn choose(
        &self,
        wish: &Wish<'_>,
        now: Time,
        rng: &mut SmallRng,
    ) -> Option<UpstreamId> {
        let places = self.usable(wish.target, now)?;
        let pace_ms = wish
            .pace_ms
            .filter(|pace_ms| self.any_keeps_pace(places, *pace_ms, now));
        let candidates = || {
            places
                .iter()
                .map(|place| &self.states[*place])
                .filter(|state| state.has_room(wish.rank, &self.room, now))
                .filter(|state| pace_ms.is_none_or(|pace_ms| state.keeps_pace(pace_ms)))
        };
        let fresh = candidates().filter(|state| !wish.avoid.contains(&state.id));
        let best = least_full(fresh, rng).or_else(|| least_full(candidates(), rng))?;
        let cached = self
            .cached(wish)
            .filter(|state| candidates().any(|candidate| candidate.id == state.id))
            .filter(|state| state.fullness() <= best.fullness() + AFFINITY_SLACK);
        Some(cached.unwrap_or(best).id.clone())
    }

    /// The domain's own upstreams of a target; those of other domains only
    /// while none of its own takes work, for their slots are shared out there.
    fn usable(&self, target: &Target, now: Time) -> Option<&[usize]> {
        let places = self.targets.get(target)?;
        let open = |places: &[usize]| places.iter().any(|place| self.states[*place].is_open(now));
        if !open(&places.own) && open(&places.foreign) {
            return Some(&places.foreign);
        }
        Some(&places.own)
    }

    fn cached(&self, wish: &Wish<'_>) -> Option<&UpstreamState> {
        let id = self.affinity.lookup(wish.prefix?)?;
        self.get(id).filter(|state| !wish.avoid.contains(&state.id))
    }

    fn any_keeps_pace(&self, places: &[usize], pace_ms: u64, now: Time) -> bool {
        places
            .iter()
            .map(|place| &self.states[*place])
            .any(|state| state.is_open(now) && state.keeps_pace(pace_ms))
    }

    /// Takes a slot.
    pub(crate) fn start(&mut self, id: &UpstreamId, plan: Plan, prefix: Option<PrefixHash>) {
        if let Some(prefix) = prefix {
            self.affinity.note(prefix, id);
        }
        if let Some(state) = self.get_mut(id) {
            state.in_flight += 1;
            state.in_flight_trial += u32::from(plan == Plan::Trial);
        }
    }

    /// Gives a slot back.
    pub(crate) fn end(&mut self, id: &UpstreamId, plan: Plan) {
        if let Some(state) = self.get_mut(id) {
            state.in_flight = state.in_flight.saturating_sub(1);
            let trial = u32::from(plan == Plan::Trial);
            state.in_flight_trial = state.in_flight_trial.saturating_sub(trial);
        }
    }

    /// Notes a failure, and ejects the upstream if it has failed often and
    /// enough others are left.
    pub(crate) fn note_failure(&mut self, id: &UpstreamId, target: &Target, now: Time) {
        let may_eject = self.may_eject(target);
        if let Some(state) = self.get_mut(id)
            && state.health.note_failure()
            && may_eject
        {
            state.health.eject(now);
        }
    }

    /// What goes wrong without the cap: a fault of the network or of this host
    /// makes every upstream fail, all are ejected, and nothing is served even
    /// where something still could be.
    fn may_eject(&self, target: &Target) -> bool {
        let Some(places) = self.targets.get(target) else {
            return false;
        };
        let all = || places.own.iter().chain(&places.foreign);
        let ejected = all()
            .filter(|place| !self.states[**place].health.is_well())
            .count();
        (ejected + 1) * KEEP_ONE_IN <= all().count().max(KEEP_ONE_IN)
    }

    /// Upstreams to be probed now; each is named once for each probe.
    pub(crate) fn take_probes(&mut self, now: Time) -> Vec<(UpstreamId, SocketAddr)> {
        self.states
            .iter_mut()
            .filter(|state| !state.is_leaving(now))
            .filter_map(|state| {
                let due = state.health.take_probe(now);
                due.then(|| (state.id.clone(), state.definition.address()))
            })
            .collect()
    }
}

fn targets_of(definition: &Upstream) -> Vec<Target> {
    match definition {
        Upstream::Engine(engine) => engine.models.iter().cloned().map(Target::Model).collect(),
        Upstream::Service(replica) => vec![Target::Service(replica.service.clone())],
    }
}

/// The least full upstream; ties are broken at random, so that several hosts
/// do not all choose the same one.
fn least_full<'a>(
    states: impl Iterator<Item = &'a UpstreamState>,
    rng: &mut SmallRng,
) -> Option<&'a UpstreamState> {
    let mut best: Option<(&UpstreamState, f64)> = None;
    let mut ties = 0;
    for state in states {
        let fullness = state.fullness();
        match best {
            Some((_, least)) if fullness > least => continue,
            Some((_, least)) if fullness == least => {
                ties += 1;
                if rng.random_range(0..=ties) > 0 {
                    continue;
                }
            }
            _ => ties = 0,
        }
        best = Some((state, fullness));
    }
    best.map(|(state, _)| state)
}
