//! Choice of the engine from which parts of a prompt are fetched.

use super::*;

/// Maximum number of this host's transfers in progress from one source. An engine that caches a
/// document that many requests share also has its own requests to serve.
const MAX_TRANSFERS_PER_SOURCE: usize = 4;

impl Pool {
    /// Engines of a target from which parts of prompts can be fetched, except those in `avoid`.
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

    /// The engine on which hosts expect a prompt's shared parts that no host has announced. It is
    /// the first engine in the rendezvous order of the parts, by which hosts also place them,
    /// whether or not the engine is reserved for pause-sensitive streams.
    pub(crate) fn rendezvous_engine<'a>(
        sources: impl Iterator<Item = &'a UpstreamState>,
        parts: &[PromptPart],
    ) -> Option<&'a UpstreamState> {
        let chain = placement::shared_chain_hash(parts);
        sources.max_by_key(|state| placement::rendezvous_hash(&state.id, chain))
    }

    /// The parts of a prompt that an engine should fetch; `None` if prefilling them takes no
    /// longer.
    ///
    /// The source is an engine of the same software version: the one that is known to have prefilled
    /// most of the prompt, or the rendezvous engine if it may have cached more. If the rendezvous
    /// engine lacks the parts, the destination prefills them, as without the fetch.
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
        let version = destination.definition.software_version();
        let alike = others.filter(|source| source.definition.software_version() == version);
        let fetches = alike.filter_map(|source| {
            let confirmed_tokens = source.cache.fetchable_tokens(request.parts);
            let possible_tokens = if source.id == rendezvous.id {
                shared
            } else {
                0
            };
            plan_fetch_from(
                source,
                destination,
                confirmed_tokens,
                possible_tokens,
                request.parts,
                now,
            )
        });
        // Equal candidates are ordered by a hash of the prompt. With a fixed order, the first one
        // would be the source of all transfers.
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

/// The fetch from one source, which is known to have prefilled `confirmed_tokens` of the prompt and
/// may have `possible_tokens` of it. `None` if the fetch is not useful, or the source has too many
/// transfers in progress.
fn plan_fetch_from(
    source: &UpstreamState,
    destination: &UpstreamState,
    confirmed_tokens: u64,
    possible_tokens: u64,
    parts: &[PromptPart],
    now: Time,
) -> Option<PromptFetch> {
    let cached = destination.cache.fetchable_tokens(parts);
    let max_tokens = confirmed_tokens.max(possible_tokens).checked_sub(cached)?;
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
    let tokens = confirmed_tokens
        .saturating_sub(cached)
        .min(u64::from(u32::MAX));
    Some(PromptFetch {
        address: source.definition.address(),
        expected_end,
        max_tokens,
        source: source.id.clone(),
        known_tokens: Tokens::new(tokens as u32),
    })
}
