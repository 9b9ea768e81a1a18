//! Placement of prompts whose parts are known, on the engine that is expected to produce the first
//! token soonest.
//!
//! A request is pause-sensitive if its class has the shortest target for pauses between tokens.
//! Long prompts on the same engine can make such a request late, so a share of the engines is
//! reserved for pause-sensitive requests.

use super::*;

/// Cost of one request that runs on an engine, in prompt tokens. The request slows every step: a
/// step of 3.4 ms takes 0.1 ms longer per request, over some 25 steps, and an engine prefills 112
/// prompt tokens per millisecond.
const RUNNING_REQUEST_COST_TOKENS: f64 = 280.0;

/// Weight of tokens that have to be prefilled, relative to tokens that are already queued. Prefill
/// work delays all requests, while queued work delays only the new one.
const UNCACHED_TOKEN_WEIGHT: f64 = 20.0;

/// Prefill rate assumed while no engine differs in speed from the others, in prompt tokens per
/// millisecond.
const UNIFORM_PREFILL_TOKENS_PER_MS: f64 = 100.0;

/// Cost of an engine on which the first token is expected too late, in prompt tokens: as much as
/// prefilling 7,500 tokens. A second engine therefore prefills a document that many requests share
/// once the first engine is late, but not while all engines are late.
const LATE_FIRST_TOKEN_COST_TOKENS: f64 = 150_000.0;

/// Cost of an engine in another failure domain, in prompt tokens. It stands for the traffic between
/// domains and the longer network path, and equals about 2 ms of an engine's time.
const CROSS_DOMAIN_COST_TOKENS: f64 = 200.0;

/// Cost per unit of [`TrackRecord::cost`], in prompt tokens: as much as prefilling 20,000 tokens.
/// An engine that fails half of its requests has a cost of one unit, so prompts move to other
/// engines.
const TRACK_RECORD_COST_TOKENS: f64 = 400_000.0;

/// Cost of an engine that is reserved for pause-sensitive streams, for each token of any other
/// prompt, in prompt tokens. A prompt of 17,000 tokens, which delays streams, goes to a reserved
/// engine when the other engines are 0.6 s behind. A prompt of 2,000 tokens, which hardly delays
/// them, does so when the other engines are 0.08 s behind.
///
/// If the cost did not depend on the size of the prompt, full engines would refuse short prompts of
/// a more urgent class in an overload, while long prompts start on these engines and the reserved
/// ones have room. More than one in twelve of the short prompts would be refused.
const RESERVED_ENGINE_COST_PER_TOKEN: f64 = 3.5;

/// Cost of a long prompt for each pause-sensitive request on the engine, in prompt tokens. Five
/// such requests weigh as much as prefilling 5,000 tokens.
const LONG_PROMPT_COST_PER_STREAM_TOKENS: f64 = 20_000.0;

/// Cost of an unreserved engine for a pause-sensitive stream, in prompt tokens: 0.1 to 0.2 s of
/// prefill time. With ten times this cost no fewer streams are late, but streams share fewer
/// engines, and more of them are lost together when an engine fails.
const UNRESERVED_ENGINE_COST_TOKENS: f64 = 10_000.0;

/// Minimum time until the first token is due for a prompt to prefer an engine in another failure
/// domain, where hosts do not know all engines. If that domain is cut off, enough time is left to
/// place the prompt again.
const MIN_TIME_LEFT_FOR_REMOTE: Duration = Duration::from_millis(1_000);

/// Number of engines that are sampled for baselines.
const BASELINE_SAMPLE_SIZE: usize = 64;

impl Pool {
    /// The engine with the lowest cost for a prompt, among those on which the request has not
    /// failed if there are any.
    pub(crate) fn place<'a>(
        &'a self,
        states: impl Iterator<Item = &'a UpstreamState> + Clone,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> Option<&'a UpstreamState> {
        let untried = states
            .clone()
            .filter(|state| request.has_not_failed_on(state));
        let copies = self.copies_of(request, now);
        cheapest_engine(untried, request, &copies, now)
            .or_else(|| cheapest_engine(states, request, &copies, now))
    }
}

/// The engine with the lowest cost. If the request limits the number of candidates, only the
/// engines that rank first for the shared parts and for the whole prompt are compared.
fn cheapest_engine<'a>(
    states: impl Iterator<Item = &'a UpstreamState> + Clone,
    request: &PlacementRequest<'_>,
    copies: &PromptCopies<'_>,
    now: Time,
) -> Option<&'a UpstreamState> {
    let cost_model = CostModel::new(states.clone(), request, copies, now);
    let hashes = prompt_cache::chain_hashes(request.parts);
    let prompt_hash = hashes.last().map_or(0, |(hash, _)| hash);
    // Engines with the same cost are ordered by a hash of the prompt. A fixed order would send the
    // prompts of all hosts to the first of these engines.
    let preference = |state: &UpstreamState| Preference::of(state, prompt_hash);
    let cheapest = |states: Vec<&'a UpstreamState>| {
        let costs = states
            .into_iter()
            .map(|state| (cost_model.cost(state), state));
        let least = costs.min_by(|(a_cost, a), (b_cost, b)| {
            let by_cost = a_cost.total_cmp(b_cost);
            by_cost.then_with(|| preference(b).compare(&preference(a)))
        });
        least.map(|(_, state)| state)
    };
    let Some(count) = request.max_candidates else {
        return cheapest(states.collect());
    };
    let is_preferred_candidate = |state: &&UpstreamState| {
        cost_model.may_be_preferred(state) && cost_model.matches_reservation(state)
    };
    let mut candidates = first_by_preference(
        states.clone().filter(is_preferred_candidate),
        cost_model.shared_chain_hash,
        count,
    );
    candidates.extend(first_by_preference(states, prompt_hash, count));
    cheapest(candidates)
}

/// The first `count` engines in the rendezvous order of `key`, in this order.
fn first_by_preference<'a>(
    states: impl Iterator<Item = &'a UpstreamState>,
    key: u64,
    count: usize,
) -> Vec<&'a UpstreamState> {
    let mut first: Vec<(Preference, &UpstreamState)> = Vec::with_capacity(count + 1);
    for state in states {
        let preference = Preference::of(state, key);
        let is_before = |other: &Preference| other.compare(&preference).is_gt();
        if first.len() == count && first.last().is_some_and(|(least, _)| is_before(least)) {
            continue;
        }
        let position = first.partition_point(|(other, _)| is_before(other));
        first.insert(position, (preference, state));
        first.truncate(count);
    }
    first.into_iter().map(|(_, state)| state).collect()
}

/// Engines among which a prompt's preferred engine is selected. Where hosts do not know all
/// engines, all hosts that may place the prompt must select the same one.
#[derive(Clone, Copy, Debug)]
enum PreferredScope {
    All,
    /// Engines that the hosts of all failure domains know.
    Common,
    /// Engines of this host's failure domain.
    Local,
}

impl PreferredScope {
    fn of<'a>(
        mut states: impl Iterator<Item = &'a UpstreamState>,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> Self {
        if states.all(|state| state.is_common) {
            return Self::All;
        }
        if request.first_token_due.since(now) >= MIN_TIME_LEFT_FOR_REMOTE {
            Self::Common
        } else {
            Self::Local
        }
    }

    const fn contains(self, state: &UpstreamState) -> bool {
        match self {
            Self::All => true,
            Self::Common => state.is_common,
            Self::Local => state.is_local,
        }
    }
}

/// Cost of placing a prompt on an engine, compared with baselines over all engines.
struct CostModel<'a, 'w> {
    /// Whether no engine is observed to differ in speed from the others.
    is_uniform_speed: bool,
    /// Hash of the parts that the prompt shares with others.
    shared_chain_hash: u64,
    /// What engines have already prefilled of the prompt.
    copies: &'w PromptCopies<'w>,
    /// Time until the first token is due.
    time_left_ms: f64,
    /// Engine on which all hosts place the prompt unless another one costs less.
    preferred_engine: Option<&'a UpstreamId>,
    /// Engines among which the preferred engine is selected.
    preferred_scope: PreferredScope,
    has_long_prompt: bool,
    now: Time,
    parts: &'w [PromptPart],
    is_pause_sensitive: bool,
    /// Last position in the reservation order whose engine is reserved for pause-sensitive streams;
    /// `None` if no engine is reserved.
    reserved_up_to: Option<u64>,
    /// Tokens of the whole prompt.
    tokens: u64,
    /// Median of the track records.
    baseline_record: BaselineRecord,
    median_token_time_ms: f64,
}

impl<'a, 'w> CostModel<'a, 'w> {
    fn new(
        states: impl Iterator<Item = &'a UpstreamState> + Clone,
        request: &PlacementRequest<'w>,
        copies: &'w PromptCopies<'w>,
        now: Time,
    ) -> Self {
        let chain_hash = shared_chain_hash(request.parts);
        let scope = PreferredScope::of(states.clone(), request, now);
        let in_scope = states.clone().filter(|state| scope.contains(state));
        let reserved_up_to = reserved_up_to(in_scope.clone(), request.stream_share);
        let matching = |state: &&UpstreamState| {
            is_reserved(state, reserved_up_to) == request.is_pause_sensitive
        };
        let matching = in_scope.clone().filter(matching);
        let preferred = preferred_engine(matching, chain_hash)
            .or_else(|| preferred_engine(in_scope, chain_hash));
        let sample = states.clone().take(BASELINE_SAMPLE_SIZE);
        Self {
            is_uniform_speed: have_same_speed(states.clone()),
            shared_chain_hash: chain_hash,
            copies,
            time_left_ms: request.first_token_due.since(now).as_secs_f64() * 1_000.0,
            preferred_engine: preferred.map(|preferred| &preferred.id),
            preferred_scope: scope,
            has_long_prompt: request.has_long_prompt,
            now,
            parts: request.parts,
            is_pause_sensitive: request.is_pause_sensitive,
            reserved_up_to,
            tokens: prompt_cache::total_tokens(request.parts),
            baseline_record: BaselineRecord::of(sample.clone().map(|state| &state.track_record)),
            median_token_time_ms: median_token_time_ms(sample),
        }
    }

    fn may_be_preferred(&self, state: &UpstreamState) -> bool {
        self.preferred_scope.contains(state)
    }

    /// Whether the engine is reserved for pause-sensitive streams and the prompt belongs to one, or
    /// neither is the case.
    fn matches_reservation(&self, state: &UpstreamState) -> bool {
        is_reserved(state, self.reserved_up_to) == self.is_pause_sensitive
    }

    /// Cost of placing the prompt on an engine, in prompt tokens.
    fn cost(&self, state: &UpstreamState) -> f64 {
        let uncached = self.uncached_tokens(state);
        let running_cost = RUNNING_REQUEST_COST_TOKENS * f64::from(state.all_in_flight());
        let queued = (state.backlog_tokens + state.others_backlog_tokens) as f64 + running_cost;
        let slowness = self.slowness(state);
        let first_token_ms = (queued + uncached) * slowness / self.prefill_tokens_per_ms(state);
        // Tokens to be prefilled are not scaled by the speed of the engine. Fast engines are
        // already preferred for more prompts. With a second advantage they would receive too much
        // at once, as hosts do not know immediately what others send there.
        let queued = queued / state.speed.factor();
        let lateness = if first_token_ms > self.time_left_ms {
            LATE_FIRST_TOKEN_COST_TOKENS
        } else {
            0.0
        };
        let cross_domain = if state.is_local {
            0.0
        } else {
            CROSS_DOMAIN_COST_TOKENS
        };
        let unreliability =
            TRACK_RECORD_COST_TOKENS * state.track_record.cost(&self.baseline_record, self.now);
        let pause_cost = self.pause_cost(state);
        let prefill = self
            .copies
            .equivalent_prefill_tokens(state, self.tokens, uncached);
        queued * slowness
            + UNCACHED_TOKEN_WEIGHT * prefill
            + lateness
            + cross_domain
            + unreliability
            + pause_cost
    }

    /// Cost of the pauses that follow from placing the prompt on an engine, in the streams there or
    /// in the prompt's own stream.
    ///
    /// An engine prefills long prompts between the tokens of its streams, and the later part of a
    /// long prompt takes longest. Without this cost all streams on the same engine pause for too
    /// long, however early their first tokens are, and the most urgent class misses the target for
    /// its longest pause by a few milliseconds.
    fn pause_cost(&self, state: &UpstreamState) -> f64 {
        let delayed_streams = f64::from(
            state
                .pause_sensitive
                .saturating_add(state.others_pause_sensitive),
        );
        let long_prompt = if self.has_long_prompt {
            LONG_PROMPT_COST_PER_STREAM_TOKENS * delayed_streams
        } else {
            0.0
        };
        match (
            self.is_pause_sensitive,
            is_reserved(state, self.reserved_up_to),
        ) {
            (true, false) => UNRESERVED_ENGINE_COST_TOKENS,
            (false, true) => RESERVED_ENGINE_COST_PER_TOKEN * self.tokens as f64 + long_prompt,
            (false, false) => long_prompt,
            _ => 0.0,
        }
    }

    /// Estimated number of tokens that the engine has to prefill.
    fn uncached_tokens(&self, state: &UpstreamState) -> f64 {
        let mut cached = state.cache.cached_tokens(self.parts);
        if self.preferred_engine == Some(&state.id) {
            // If any host has received the shared parts before, it has sent them to the preferred
            // engine.
            cached = cached.max(prompt_cache::total_tokens(shared_parts(self.parts)));
        }
        (self.tokens - cached) as f64
    }

    /// Prompt tokens that an engine prefills per millisecond.
    const fn prefill_tokens_per_ms(&self, state: &UpstreamState) -> f64 {
        if self.is_uniform_speed {
            UNIFORM_PREFILL_TOKENS_PER_MS
        } else {
            state.speed.prefill_tokens_per_ms
        }
    }

    /// How many times longer the engine takes per token than the median engine, with its known
    /// speed taken into account.
    fn slowness(&self, state: &UpstreamState) -> f64 {
        let token_time_ms = normalized_token_time_ms(state);
        token_time_ms.map_or(1.0, |token_time_ms| {
            (token_time_ms / self.median_token_time_ms).clamp(1.0, MAX_SLOWNESS)
        })
    }
}

/// Upper bound on the slowness of an engine.
const MAX_SLOWNESS: f64 = 8.0;

/// Median time between two tokens over the engines, normalized by their speeds.
///
/// The time of the fastest engine would be a wrong baseline. An idle engine generates tokens many
/// times as fast as one that prefills prompts, so all others would look slow, and prompts would
/// leave the engines that cache their parts although nothing is wrong.
fn median_token_time_ms<'a>(states: impl Iterator<Item = &'a UpstreamState>) -> f64 {
    let mut times: Vec<f64> = states.filter_map(normalized_token_time_ms).collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied().unwrap_or(1.0)
}

/// Time between two tokens that an engine of the usual speed would have under the same load.
fn normalized_token_time_ms(state: &UpstreamState) -> Option<f64> {
    let token_time_ms = state.token_time_ms?;
    Some(token_time_ms * state.speed.factor())
}

/// Whether no engine is observed to differ in speed from the others.
fn have_same_speed<'a>(mut states: impl Iterator<Item = &'a UpstreamState>) -> bool {
    states.all(|state| state.speed.step == SpeedStep::BASELINE)
}

/// The parts that a prompt shares with others: all but the last one, which belongs to a single
/// request or session.
pub(crate) fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    &parts[..parts.len().saturating_sub(1)]
}

/// Chain hash of the parts that a prompt shares with others; 0 if there are none.
pub(crate) fn shared_chain_hash(parts: &[PromptPart]) -> u64 {
    let hash = prompt_cache::chain_hashes(shared_parts(parts)).last();
    hash.map_or(0, |(hash, _)| hash)
}

/// The engine on which all hosts place a prompt unless another one costs less. All hosts select the
/// same engine by rendezvous hashing, so a shared part is prefilled once instead of once per host.
/// Each engine is preferred for a share of the prompts in proportion to its speed.
fn preferred_engine<'a>(
    states: impl Iterator<Item = &'a UpstreamState>,
    chain_hash: u64,
) -> Option<&'a UpstreamState> {
    let preferences = states.map(|state| (Preference::of(state, chain_hash), state));
    let first = preferences.max_by(|(a, _), (b, _)| a.compare(b));
    first.map(|(_, state)| state)
}

/// Hash of an engine and a key for rendezvous hashing. The hash is the same on every host and for
/// every incarnation of the engine.
pub(crate) fn rendezvous_hash(id: &UpstreamId, key: u64) -> u64 {
    let name = id.name().bytes();
    name.fold(key, |hash, byte| prompt_cache::mix(hash, u64::from(byte)))
}

/// Whether an engine is reserved for pause-sensitive streams, and therefore kept free of long
/// prompts.
fn is_reserved(state: &UpstreamState, reserved_up_to: Option<u64>) -> bool {
    reserved_up_to.is_some_and(|last| state.reservation_order <= last)
}

/// Last position in the reservation order whose engine is reserved, so that the reserved engines
/// provide `share` of the capacity of all engines. `None` if no engine is reserved.
fn reserved_up_to<'a>(
    states: impl Iterator<Item = &'a UpstreamState> + Clone,
    share: f64,
) -> Option<u64> {
    if !have_same_speed(states.clone()) {
        return reserved_up_to_by_speed(states, share);
    }
    let mut order: Vec<u64> = states.map(|state| state.reservation_order).collect();
    let count = (share * order.len() as f64).round() as usize;
    let last = count.checked_sub(1)?;
    Some(*order.select_nth_unstable(last).1)
}

/// [`reserved_up_to`] for engines of different speeds.
fn reserved_up_to_by_speed<'a>(
    states: impl Iterator<Item = &'a UpstreamState>,
    share: f64,
) -> Option<u64> {
    let order = states.map(|state| (state.reservation_order, state.speed.factor()));
    let mut order: Vec<(u64, f64)> = order.collect();
    order.sort_unstable_by_key(|(position, _)| *position);
    let mut left = share * order.iter().map(|(_, factor)| factor).sum::<f64>();
    let mut last = None;
    for (position, factor) in order {
        // An engine is reserved if at least half of its capacity is within the share.
        if left < factor / 2.0 {
            break;
        }
        left -= factor;
        last = Some(position);
    }
    last
}
