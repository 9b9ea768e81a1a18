//! Selection of an upstream for a request.

use super::*;

/// How much more utilized than the least utilized upstream the one that last served the same prefix
/// may be and still be selected.
const MAX_AFFINITY_EXTRA_UTILIZATION: f64 = 0.25;

/// Utilization added to upstreams of other failure domains when upstreams are compared. On an
/// upstream of six slots, the smallest size, it is less than one request.
const CROSS_DOMAIN_EXTRA_UTILIZATION: f64 = 0.1;

impl Pool {
    /// Selects the upstream for a request: the least utilized one with room, unless the upstream
    /// that last served the same prefix is about as free.
    ///
    /// Free slots of this host's own share are used first, then other free slots, then the queues
    /// of engines. Upstreams that generate tokens too slowly for the request are skipped unless all
    /// of them do.
    pub(crate) fn choose(
        &self,
        request: &PlacementRequest<'_>,
        now: Time,
        rng: &mut SmallRng,
    ) -> Option<UpstreamId> {
        if self.is_share_exhausted(request) {
            return None;
        }
        let indexes = self.candidate_indexes(request, now)?;
        if let Some(state) = self.overdue_limit_check(indexes, request, now) {
            return Some(state.id.clone());
        }
        let token_target_ms = request.between_token_target_ms.filter(|token_target_ms| {
            let mut admitted = self.admitted(indexes, request);
            admitted.any(|state| {
                state.accepts_request(now) && state.meets_token_target(*token_target_ms)
            })
        });
        let fast_enough = || {
            self.admitted(indexes, request).filter(|state| {
                token_target_ms
                    .is_none_or(|token_target_ms| state.meets_token_target(token_target_ms))
            })
        };
        let own_slot = |state: &&UpstreamState| {
            state.has_free_own_slot(now) && self.may_use_own_slot(state, request.rank)
        };
        let free_slot = |state: &&UpstreamState| {
            state.has_free_slot(now) && self.may_use_free_slot(state, request.rank)
        };
        let queue_room = |state: &&UpstreamState| {
            state.has_queue_room(now) && self.may_use_queue(state, request.rank)
        };
        let best = self
            .best(fast_enough().filter(own_slot), request, now, rng)
            .or_else(|| self.best(fast_enough().filter(free_slot), request, now, rng))
            .or_else(|| {
                least_utilized_untried(fast_enough().filter(queue_room), request, now, rng)
            })?;
        Some(best.id.clone())
    }

    /// An upstream whose rate limit was named so long ago that it may no longer apply. The next
    /// request to the upstream shows whether it still names a limit.
    fn overdue_limit_check<'a>(
        &'a self,
        indexes: &'a [usize],
        request: &'a PlacementRequest<'_>,
        now: Time,
    ) -> Option<&'a UpstreamState> {
        if !self.has_limits {
            return None;
        }
        let mut states = self.admitted(indexes, request);
        states.find(|state| {
            state.limit.needs_recheck(now)
                && state.accepts_request(now)
                && request.has_not_failed_on(state)
        })
    }

    /// The least utilized of `states`, or the upstream that last served the same prefix if `states`
    /// contains it and it is about as free. A prompt whose parts are known is placed by
    /// [`Pool::place`] instead.
    fn best<'a>(
        &'a self,
        states: impl Iterator<Item = &'a UpstreamState> + Clone,
        request: &PlacementRequest<'_>,
        now: Time,
        rng: &mut SmallRng,
    ) -> Option<&'a UpstreamState> {
        if !request.parts.is_empty() {
            return self.place(states, request, now);
        }
        let best = least_utilized_untried(states.clone(), request, now, rng)?;
        let cached = self
            .last_for_prefix(request)
            .filter(|cached| states.clone().any(|state| state.id == cached.id))
            .filter(|cached| {
                cached.utilization() <= best.utilization() + MAX_AFFINITY_EXTRA_UTILIZATION
            });
        Some(cached.unwrap_or(best))
    }

    /// Whether a request of `rank` may use a free slot of this host's own. A pressing request
    /// always may. Other requests leave the headroom free, and slots that pressing requests use
    /// beyond the share count against the share.
    fn may_use_own_slot(&self, state: &UpstreamState, rank: Rank) -> bool {
        let Some(group) = state.group else {
            return false;
        };
        rank.is_urgent() || self.groups[group].has_room(rank, &self.room_rules)
    }

    /// Whether a request of `rank` may use a free slot that is not this host's own. An upstream of
    /// another failure domain is limited by this host's share of its slots.
    fn may_use_free_slot(&self, state: &UpstreamState, rank: Rank) -> bool {
        let Some(group) = state.group else {
            return state.in_flight < state.remote_share;
        };
        let overdraft = rank.is_urgent() && self.room_rules.share_overrun != ShareOverrun::None;
        overdraft || self.groups[group].has_room(rank, &self.room_rules)
    }

    /// Whether a request of `rank` may wait in an upstream's own queue because all upstreams look
    /// full. While this host has share left, some slot must be free, so the load reports are
    /// outdated. This is possible only in a group whose slots this host shares with other hosts.
    fn may_use_queue(&self, state: &UpstreamState, rank: Rank) -> bool {
        let Some(group) = state.group else {
            return false;
        };
        let group = &self.groups[group];
        let is_shared = group.share.slots < group.slots;
        let overdraft =
            rank.is_urgent() && self.room_rules.share_overrun == ShareOverrun::EngineQueue;
        is_shared && (overdraft || group.has_room(rank, &self.room_rules))
    }

    /// Whether no share is left for a request. This check does not look at each upstream.
    fn is_share_exhausted(&self, request: &PlacementRequest<'_>) -> bool {
        let Some(upstreams) = self.targets.get(request.target) else {
            return true;
        };
        let is_full = |group: &usize| {
            let group = &self.groups[*group];
            let owns_all_slots = group.share.slots >= group.slots;
            let overdraft = request.rank.is_urgent() && !owns_all_slots;
            !overdraft && !group.has_room(request.rank, &self.room_rules)
        };
        upstreams.remote.is_empty() && upstreams.groups.iter().all(is_full)
    }

    /// Upstreams of the request's target in this host's failure domain. Upstreams of other domains
    /// are used only while none of these accepts the request, because their slots are divided
    /// among the hosts of their own domain.
    fn candidate_indexes(&self, request: &PlacementRequest<'_>, now: Time) -> Option<&[usize]> {
        let upstreams = self.targets.get(request.target)?;
        let any_accepts = |indexes: &[usize]| {
            let mut admitted = self.admitted(indexes, request);
            admitted.any(|state| state.accepts_request(now))
        };
        if !any_accepts(&upstreams.grouped) && any_accepts(&upstreams.remote) {
            return Some(&upstreams.remote);
        }
        Some(&upstreams.grouped)
    }

    /// The upstream that last served the request's prefix, unless the request has failed on it.
    fn last_for_prefix(&self, request: &PlacementRequest<'_>) -> Option<&UpstreamState> {
        let id = self.affinity.lookup(request.prefix?)?;
        self.get(id)
            .filter(|state| request.has_not_failed_on(state))
    }

    /// The upstreams at `indexes` whose software version may run the request.
    fn admitted<'a>(
        &'a self,
        indexes: &'a [usize],
        request: &'a PlacementRequest<'_>,
    ) -> impl Iterator<Item = &'a UpstreamState> + Clone {
        let states = indexes.iter().map(|index| &self.states[*index]);
        states.filter(|state| request.version_bound.admits(state))
    }
}

/// The least utilized upstream on which the request has not failed, or the least utilized one if
/// the request has failed on all of them.
fn least_utilized_untried<'a>(
    states: impl Iterator<Item = &'a UpstreamState> + Clone,
    request: &PlacementRequest<'_>,
    now: Time,
    rng: &mut SmallRng,
) -> Option<&'a UpstreamState> {
    let untried = states
        .clone()
        .filter(|state| request.has_not_failed_on(state));
    least_utilized(untried, now, rng).or_else(|| least_utilized(states, now, rng))
}

/// The least utilized upstream. Failures, slowness and another failure domain count as additional
/// utilization. Ties are broken at random, so that several hosts do not all select the same
/// upstream.
fn least_utilized<'a>(
    states: impl Iterator<Item = &'a UpstreamState> + Clone,
    now: Time,
    rng: &mut SmallRng,
) -> Option<&'a UpstreamState> {
    let baseline = BaselineRecord::of(states.clone().map(|state| &state.track_record));
    let mut best: Option<(&UpstreamState, f64)> = None;
    let mut ties = 0;
    for state in states {
        let cross_domain = if state.is_local {
            0.0
        } else {
            CROSS_DOMAIN_EXTRA_UTILIZATION
        };
        let load = state.utilization() + cross_domain + state.track_record.cost(&baseline, now);
        match best {
            Some((_, least)) if load > least => continue,
            Some((_, least)) if load == least => {
                ties += 1;
                if rng.random_range(0..=ties) > 0 {
                    continue;
                }
            }
            _ => ties = 0,
        }
        best = Some((state, load));
    }
    best.map(|(state, _)| state)
}
