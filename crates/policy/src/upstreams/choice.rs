//! The choice of an upstream for a request.

use super::*;

/// How much fuller than the least full upstream the one with the cached
/// prefix may be and still be chosen.
const AFFINITY_SLACK: f64 = 0.25;

/// How much less full an upstream of another failure domain must be to be
/// chosen: less than one request on the smallest upstreams of six slots.
const FAR_COST: f64 = 0.1;

impl Pool {
    /// Chooses the upstream for a request: among those with room the least
    /// full, unless one that has served the same prefix is about as free.
    pub(crate) fn choose(
        &self,
        wanted: &PlacementRequest<'_>,
        now: Time,
        rng: &mut SmallRng,
    ) -> Option<UpstreamId> {
        if self.is_surely_full(wanted) {
            return None;
        }
        let places = self.usable(wanted.target, now)?;
        if let Some(state) = self.to_be_checked(places, wanted, now) {
            return Some(state.id.clone());
        }
        let pace_ms = wanted
            .pace_ms
            .filter(|pace_ms| self.any_keeps_pace(places, *pace_ms, now));
        let in_pace = || {
            let states = places.iter().map(|place| &self.states[*place]);
            states.filter(|state| pace_ms.is_none_or(|pace_ms| state.keeps_pace(pace_ms)))
        };
        let home = |state: &&UpstreamState| {
            state.is_home_free(now) && self.may_use_home(state, wanted.rank)
        };
        let free =
            |state: &&UpstreamState| state.is_free(now) && self.may_use_free(state, wanted.rank);
        let queue =
            |state: &&UpstreamState| state.is_queueable(now) && self.may_queue(state, wanted.rank);
        let best = self
            .best(in_pace().filter(home), wanted, now, rng)
            .or_else(|| self.best(in_pace().filter(free), wanted, now, rng))
            .or_else(|| pick(in_pace().filter(queue), wanted, now, rng))?;
        Some(best.id.clone())
    }

    /// An upstream of which this host should learn whether it still names a limit.
    fn to_be_checked(
        &self,
        places: &[usize],
        wanted: &PlacementRequest<'_>,
        now: Time,
    ) -> Option<&UpstreamState> {
        if !self.has_limits {
            return None;
        }
        let mut states = places.iter().map(|place| &self.states[*place]);
        states.find(|state| {
            state.limit.needs_recheck(now) && state.is_open(now) && wanted.is_fresh(state)
        })
    }

    /// The least full of some upstreams, or the one that has served the same
    /// prefix if it is among them and about as free.
    fn best<'a>(
        &'a self,
        states: impl Iterator<Item = &'a UpstreamState> + Clone,
        wanted: &PlacementRequest<'_>,
        now: Time,
        rng: &mut SmallRng,
    ) -> Option<&'a UpstreamState> {
        if !wanted.parts.is_empty() {
            return self.place(states, wanted, now);
        }
        let best = pick(states.clone(), wanted, now, rng)?;
        let cached = self
            .cached(wanted)
            .filter(|cached| states.clone().any(|state| state.id == cached.id))
            .filter(|cached| cached.fullness() <= best.fullness() + AFFINITY_SLACK);
        Some(cached.unwrap_or(best))
    }

    /// Whether a free slot of this host's own may be used. A pressing request
    /// always may; the others leave the headroom, and what an overdraft took.
    fn may_use_home(&self, state: &UpstreamState, rank: Rank) -> bool {
        let Some(group) = state.group else {
            return false;
        };
        rank.is_urgent() || self.groups[group].has_room(rank, &self.room)
    }

    /// Whether this host may use a free slot of an upstream.
    fn may_use_free(&self, state: &UpstreamState, rank: Rank) -> bool {
        let Some(group) = state.group else {
            return state.in_flight < state.foreign_share;
        };
        let overdraft = rank.is_urgent() && self.room.share_overrun != ShareOverrun::None;
        overdraft || self.groups[group].has_room(rank, &self.room)
    }

    /// Whether this host may use an upstream's own queue, since all upstreams
    /// look full: with a share left some slot must be free, so the reports are
    /// older than that.
    fn may_queue(&self, state: &UpstreamState, rank: Rank) -> bool {
        let Some(group) = state.group else {
            return false;
        };
        let group = &self.groups[group];
        let others_there = group.share.slots < group.slots;
        let overdraft = rank.is_urgent() && self.room.share_overrun == ShareOverrun::EngineQueue;
        others_there && (overdraft || group.has_room(rank, &self.room))
    }

    /// Whether no share is left for a request, without a look at each upstream.
    fn is_surely_full(&self, wanted: &PlacementRequest<'_>) -> bool {
        let Some(places) = self.targets.get(wanted.target) else {
            return true;
        };
        let full = |group: &usize| {
            let group = &self.groups[*group];
            let alone = group.share.slots >= group.slots;
            let overdraft = wanted.rank.is_urgent() && !alone;
            !overdraft && !group.has_room(wanted.rank, &self.room)
        };
        places.foreign.is_empty() && places.groups.iter().all(full)
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

    fn cached(&self, wanted: &PlacementRequest<'_>) -> Option<&UpstreamState> {
        let id = self.affinity.lookup(wanted.prefix?)?;
        self.get(id).filter(|state| wanted.is_fresh(state))
    }

    fn any_keeps_pace(&self, places: &[usize], pace_ms: u64, now: Time) -> bool {
        places
            .iter()
            .map(|place| &self.states[*place])
            .any(|state| state.is_open(now) && state.keeps_pace(pace_ms))
    }
}

/// The least full upstream, one that the request has not failed on if there is
/// one.
fn pick<'a>(
    states: impl Iterator<Item = &'a UpstreamState> + Clone,
    wanted: &PlacementRequest<'_>,
    now: Time,
    rng: &mut SmallRng,
) -> Option<&'a UpstreamState> {
    let fresh = states.clone().filter(|state| wanted.is_fresh(state));
    least_full(fresh, now, rng).or_else(|| least_full(states, now, rng))
}

/// The least full upstream, counting what speaks against it as slots; ties are
/// broken at random, so that several hosts do not all choose the same one.
fn least_full<'a>(
    states: impl Iterator<Item = &'a UpstreamState> + Clone,
    now: Time,
    rng: &mut SmallRng,
) -> Option<&'a UpstreamState> {
    let usual = Usual::of(states.clone().map(|state| &state.record));
    let mut best: Option<(&UpstreamState, f64)> = None;
    let mut ties = 0;
    for state in states {
        let far = if state.near { 0.0 } else { FAR_COST };
        let fullness = state.fullness() + far + state.record.cost(&usual, now);
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
