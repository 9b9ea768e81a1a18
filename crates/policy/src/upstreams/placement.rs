//! Placement of prompts whose parts are known: the engine that is expected to
//! give the first token first.

use super::*;

/// Cost of one request that runs on an engine, in prompt tokens: it slows every
/// step a little. A step of 3.4 ms takes 0.1 ms more for each request, over
/// some 25 steps, and an engine reads 112 prompt tokens in a millisecond.
const RUNNING_REQUEST_COST_TOKENS: f64 = 280.0;

/// Weight of tokens that must be read again against tokens that wait already: what
/// is read again costs all requests, what waits only delays this one.
const UNCACHED_TOKEN_WEIGHT: f64 = 20.0;

/// Prompt tokens that an engine is taken to read in a millisecond where none is seen to differ from
/// the others.
const UNIFORM_PREFILL_TOKENS_PER_MS: f64 = 100.0;

/// Cost, in prompt tokens, of an engine at which the first token is expected too
/// late: as much as reading 7,500 tokens again. So a document that many ask for is
/// read by a second engine once the first one is late with it, and not while all
/// are late.
const LATE_FIRST_TOKEN_COST_TOKENS: f64 = 150_000.0;

/// Cost of an engine in another failure domain, in prompt tokens: the bytes
/// between domains and a longer way. About 2 ms of an engine's time.
const CROSS_DOMAIN_COST_TOKENS: f64 = 200.0;

/// Cost of an engine against which everything speaks that [`TrackRecord`] can
/// hold, in prompt tokens: as much as reading a prompt of 20,000 tokens again, so
/// a prompt leaves an engine that fails half of its requests.
const TRACK_RECORD_COST_TOKENS: f64 = 400_000.0;

/// Cost of an engine that is kept clear for streams for each token of any other prompt, in
/// prompt tokens. One of 17,000 tokens, which would make streams late, goes there when the
/// others are 0.6 s behind; one of 2,000, which hardly does, when they are 0.08 s behind.
///
/// What goes wrong where all cost as much: in an overload short prompts of a more urgent
/// class are refused by full engines, while long ones begin there and engines of the other
/// side have room. One would notice that more than one in twelve of them get nothing.
const RESERVED_ENGINE_COST_PER_TOKEN: f64 = 3.5;

/// Cost of a long prompt for each request there that it can make late, in prompt
/// tokens: five such requests weigh as much as reading 5,000 tokens again.
const LONG_PROMPT_COST_PER_STREAM_TOKENS: f64 = 20_000.0;

/// Cost, for a stream that long prompts can make late, of an engine that is not kept clear
/// for it, in prompt tokens: 0.1 to 0.2 s of its reading. With ten times as much streams
/// are no less late, share fewer engines and are lost together with one.
const UNRESERVED_ENGINE_COST_TOKENS: f64 = 10_000.0;

/// Time until its first token is due from which on a prompt may have its home in another failure
/// domain, where hosts do not know all engines: if that domain is cut off, the prompt can still
/// be placed anew.
const MIN_TIME_LEFT_FOR_REMOTE: Duration = Duration::from_millis(1_000);

/// Engines that show what is usual.
const BASELINE_SAMPLE_SIZE: usize = 64;

impl Pool {
    /// The engine with the least expected work before a prompt's first token,
    /// one that the request has not failed on if there is one.
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
        cheapest_engine(untried, request, copies, now)
            .or_else(|| cheapest_engine(states, request, copies, now))
    }
}

fn cheapest_engine<'a>(
    states: impl Iterator<Item = &'a UpstreamState> + Clone,
    request: &PlacementRequest<'_>,
    copies: PromptCopies,
    now: Time,
) -> Option<&'a UpstreamState> {
    let cost_model = CostModel::new(states.clone(), request, copies, now);
    let hashes = prompt_cache::chain_hashes(request.parts);
    let prompt_hash = hashes.last().map_or(0, |(hash, _)| hash);
    // Of equal ones each prompt takes another: the first one would get those of all hosts.
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

/// The first engines in the order of a key.
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

/// Engines among which a prompt has its home. Where hosts do not know all of them, all hosts
/// that may place the prompt must come to the same one.
#[derive(Clone, Copy, Debug)]
enum PreferredScope {
    All,
    Common,
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

/// A prompt to be placed, and what is usual among the engines.
struct CostModel<'a, 'w> {
    /// Whether no engine is seen to differ in speed from the others.
    is_uniform_speed: bool,
    /// Hash of the parts that it shares with others.
    shared_chain_hash: u64,
    /// What other engines have read of it.
    copies: PromptCopies,
    /// Time until its first token is due.
    time_left_ms: f64,
    preferred_engine: Option<&'a UpstreamId>,
    /// Which engines may be its home.
    preferred_scope: PreferredScope,
    has_long_prompt: bool,
    now: Time,
    parts: &'w [PromptPart],
    is_pause_sensitive: bool,
    /// Engines up to this place in their order are kept clear for streams that long prompts
    /// can make late; `None` if there are none.
    reserved_up_to: Option<u64>,
    /// Tokens of the whole prompt.
    tokens: u64,
    baseline_record: Usual,
    median_token_time_ms: f64,
}

impl<'a, 'w> CostModel<'a, 'w> {
    fn new(
        states: impl Iterator<Item = &'a UpstreamState> + Clone,
        request: &PlacementRequest<'w>,
        copies: PromptCopies,
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
            baseline_record: Usual::of(sample.clone().map(|state| &state.track_record)),
            median_token_time_ms: median_token_time_ms(sample),
        }
    }

    fn may_be_preferred(&self, state: &UpstreamState) -> bool {
        self.preferred_scope.contains(state)
    }

    fn matches_reservation(&self, state: &UpstreamState) -> bool {
        is_reserved(state, self.reserved_up_to) == self.is_pause_sensitive
    }

    /// What it costs to place the prompt on an engine, in prompt tokens.
    fn cost(&self, state: &UpstreamState) -> f64 {
        let uncached = self.uncached_tokens(state);
        let running_cost =
            RUNNING_REQUEST_COST_TOKENS * f64::from(state.in_flight + state.others_in_flight);
        let queued = (state.backlog_tokens + state.others_backlog_tokens) as f64 + running_cost;
        let slowness = self.slowness(state);
        let first_token_ms = (queued + uncached) * slowness / self.prefill_tokens_per_ms(state);
        // What is to be read again counts alike on all: homes give fast engines their part, and a
        // second preference for them would gather there what hosts do not know of each other.
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
        let prefill = self.copies.to_read_equivalent(state, self.tokens, uncached);
        queued * slowness
            + UNCACHED_TOKEN_WEIGHT * prefill
            + lateness
            + cross_domain
            + unreliability
            + pause_cost
    }

    /// Cost of the pauses that follow from placing the prompt on an engine, in the
    /// streams there or in its own.
    ///
    /// What goes wrong without it: an engine reads long prompts between the tokens of
    /// its streams, and the later part of a long prompt takes longest. All streams
    /// beside it stand still for too long, however soon their first token came. One
    /// would notice that the most urgent class misses its target by a few
    /// milliseconds of its longest pause.
    fn pause_cost(&self, state: &UpstreamState) -> f64 {
        let delayed_streams = f64::from(state.pause_sensitive + state.others_pause_sensitive);
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

    /// Tokens that the engine is believed to have to read.
    fn uncached_tokens(&self, state: &UpstreamState) -> f64 {
        let mut cached = state.cache.cached_tokens(self.parts);
        if self.preferred_engine == Some(&state.id) {
            // Other hosts sent the shared parts there, if any was asked for them.
            cached = cached.max(prompt_cache::total_tokens(shared_parts(self.parts)));
        }
        (self.tokens - cached) as f64
    }

    /// Prompt tokens that an engine reads in a millisecond.
    const fn prefill_tokens_per_ms(&self, state: &UpstreamState) -> f64 {
        if self.is_uniform_speed {
            UNIFORM_PREFILL_TOKENS_PER_MS
        } else {
            state.speed.read_tokens_per_ms
        }
    }

    /// How much slower its tokens come than is usual at its speed.
    fn slowness(&self, state: &UpstreamState) -> f64 {
        let token_time_ms = normalized_token_time_ms(state);
        token_time_ms.map_or(1.0, |token_time_ms| {
            (token_time_ms / self.median_token_time_ms).clamp(1.0, MAX_SLOWNESS)
        })
    }
}

/// How much slower than usual an engine is believed to be at the most.
const MAX_SLOWNESS: f64 = 8.0;

/// The median time between two tokens over the engines.
///
/// What goes wrong with the fastest in its place: an engine without work gives
/// tokens many times as fast as one that reads prompts, all others look slow, and
/// prompts leave the engines that keep their parts although nothing is wrong.
fn median_token_time_ms<'a>(states: impl Iterator<Item = &'a UpstreamState>) -> f64 {
    let mut times: Vec<f64> = states.filter_map(normalized_token_time_ms).collect();
    times.sort_by(f64::total_cmp);
    times.get(times.len() / 2).copied().unwrap_or(1.0)
}

/// The time between two tokens that an engine of the usual speed would have in its place.
fn normalized_token_time_ms(state: &UpstreamState) -> Option<f64> {
    let token_time_ms = state.token_time_ms?;
    Some(token_time_ms * state.speed.factor())
}

/// Whether no engine is seen to differ in speed from the others.
fn have_same_speed<'a>(mut states: impl Iterator<Item = &'a UpstreamState>) -> bool {
    states.all(|state| state.speed.step == SpeedStep::USUAL)
}

/// The parts that a prompt shares with others. The last one belongs to the request
/// or its session alone.
pub(crate) fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    &parts[..parts.len().saturating_sub(1)]
}

/// Hash of the whole chain of parts that a prompt shares with others.
pub(crate) fn shared_chain_hash(parts: &[PromptPart]) -> u64 {
    let hash = prompt_cache::chain_hashes(shared_parts(parts)).last();
    hash.map_or(0, |(hash, _)| hash)
}

/// The engine on which all hosts place a prompt if nothing speaks against it,
/// by rendezvous hashing: so a shared part is read once and not once a host. Each engine is the home
/// of prompts in proportion to its speed.
fn preferred_engine<'a>(
    states: impl Iterator<Item = &'a UpstreamState>,
    chain_hash: u64,
) -> Option<&'a UpstreamState> {
    let preferences = states.map(|state| (Preference::of(state, chain_hash), state));
    let first = preferences.max_by(|(a, _), (b, _)| a.compare(b));
    first.map(|(_, state)| state)
}

/// Weight of an engine for a key in rendezvous hashing, the same on every host and
/// for every incarnation.
pub(crate) fn rendezvous_hash(id: &UpstreamId, key: u64) -> u64 {
    let name = id.name().bytes();
    name.fold(key, |hash, byte| prompt_cache::mix(hash, u64::from(byte)))
}

/// Whether an engine is kept clear of long prompts.
fn is_reserved(state: &UpstreamState, reserved_up_to: Option<u64>) -> bool {
    reserved_up_to.is_some_and(|last| state.reservation_order <= last)
}

/// The last place in the engines' order that is kept clear of long prompts: so many engines that
/// they can do a share of what all can do.
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
        // An engine more than half of which is left over belongs to the other side.
        if left < factor / 2.0 {
            break;
        }
        left -= factor;
        last = Some(position);
    }
    last
}
