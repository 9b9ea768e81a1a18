//! Which engine a prompt's parts are fetched from.

use super::*;

/// Most transfers of this host that are under way from one source: the engine that keeps a
/// document which many ask for has its own callers to serve.
const MAX_TRANSFERS_PER_SOURCE: usize = 4;

impl Pool {
    /// Engines of a target from which parts of prompts can be fetched, but those to be avoided.
    pub(crate) fn transfer_sources<'a>(
        &'a self,
        target: &Target,
        avoid: &'a [UpstreamId],
        now: Time,
    ) -> impl Iterator<Item = &'a UpstreamState> + Clone {
        self.upstreams_of(target).filter(move |state| {
            TransferSpeed::of(state).is_some()
                && !state.is_leaving(now)
                && state.health.is_healthy()
                && !avoid.contains(&state.id)
        })
    }

    /// The engine at which hosts look for a prompt's shared parts that nobody told of: the first
    /// in the order by which they place them, whatever the prompt's side.
    pub(crate) fn rendezvous_engine<'a>(
        sources: impl Iterator<Item = &'a UpstreamState>,
        parts: &[PromptPart],
    ) -> Option<&'a UpstreamState> {
        let chain = placement::shared_chain_hash(parts);
        sources.max_by_key(|state| placement::rendezvous_hash(&state.id, chain))
    }

    /// What an engine should fetch of a prompt; `None` where reading is as soon.
    ///
    /// The engine that is known to have read most is the source, or the one that all hosts look to
    /// if that would keep more: it may not, and then the engine reads as it would have.
    pub(crate) fn plan_fetch(
        &self,
        destination: &UpstreamId,
        request: &PlacementRequest<'_>,
        now: Time,
    ) -> Option<PromptFetch> {
        let destination = self.get(destination)?;
        TransferSpeed::of(destination)?;
        let sources = self.transfer_sources(request.target, request.avoid, now);
        let others = sources.filter(|source| source.id != destination.id);
        let rendezvous = Self::rendezvous_engine(others.clone(), request.parts)?;
        let shared = prompt_cache::total_tokens(placement::shared_parts(request.parts));
        let fetches = others.filter_map(|source| {
            let known_tokens = source.cache.fetchable_tokens(request.parts);
            let possible_tokens = if source.id == rendezvous.id {
                shared
            } else {
                0
            };
            plan_fetch_from(
                source,
                destination,
                known_tokens,
                possible_tokens,
                request.parts,
                now,
            )
        });
        // Of equal ones each prompt takes another: the first one would be the source of all.
        let prompt_hash = prompt_cache::chain_hashes(request.parts).last()?.0;
        let order = |fetch: &PromptFetch| {
            let weight = placement::rendezvous_hash(&fetch.source, prompt_hash);
            (
                fetch.max_tokens,
                fetch.known_tokens.get(),
                Reverse(fetch.expected_end),
                weight,
            )
        };
        fetches.max_by_key(order)
    }
}

/// What an engine would fetch from one that is known to keep so many tokens of a prompt, and
/// may keep more.
fn plan_fetch_from(
    source: &UpstreamState,
    destination: &UpstreamState,
    known_tokens: u64,
    possible_tokens: u64,
    parts: &[PromptPart],
    now: Time,
) -> Option<PromptFetch> {
    let cached = destination.cache.fetchable_tokens(parts);
    let max_tokens = known_tokens.max(possible_tokens).checked_sub(cached)?;
    if max_tokens == 0 || source.transfers.active_count(now) >= MAX_TRANSFERS_PER_SOURCE {
        return None;
    }
    let start = source
        .transfers
        .free_at(now)
        .max(destination.transfers.free_at(now));
    let transfer_ms = TransferSpeed::between(source, destination)?.millis_for(max_tokens);
    let expected_end = start + Duration::from_secs_f64(transfer_ms / 1_000.0);
    if expected_end.since(now).as_secs_f64() * 1_000.0 >= destination.prefill_ms(max_tokens) {
        return None;
    }
    let tokens = known_tokens.saturating_sub(cached).min(u64::from(u32::MAX));
    Some(PromptFetch {
        address: source.definition.address(),
        expected_end,
        max_tokens,
        source: source.id.clone(),
        known_tokens: Tokens::new(tokens as u32),
    })
}
