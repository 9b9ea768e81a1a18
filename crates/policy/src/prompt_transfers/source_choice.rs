//! Which engine a prompt's parts are fetched from.

use super::*;

/// Most transfers of this host that are under way from one source: the engine that keeps a
/// document which many ask for has its own callers to serve.
const MAX_FROM_SOURCE: usize = 4;

impl Pool {
    /// Engines of a target from which parts of prompts can be fetched, but those to be avoided.
    pub(crate) fn sources<'a>(
        &'a self,
        target: &Target,
        avoid: &'a [UpstreamId],
        now: Time,
    ) -> impl Iterator<Item = &'a UpstreamState> + Clone {
        self.upstreams_of(target).filter(move |state| {
            TransferSpeed::of(state).is_some()
                && !state.is_leaving(now)
                && state.health.is_well()
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
    pub(crate) fn fetch_for(
        &self,
        destination: &UpstreamId,
        wanted: &PlacementRequest<'_>,
        now: Time,
    ) -> Option<PromptFetch> {
        let destination = self.get(destination)?;
        TransferSpeed::of(destination)?;
        let sources = self.sources(wanted.target, wanted.avoid, now);
        let others = sources.filter(|source| source.id != destination.id);
        let rendezvous = Self::rendezvous_engine(others.clone(), wanted.parts)?;
        let shared = prompt_cache::total_tokens(placement::shared_parts(wanted.parts));
        let fetches = others.filter_map(|source| {
            let known = source.cache.fetchable_tokens(wanted.parts);
            let hoped = if source.id == rendezvous.id {
                shared
            } else {
                0
            };
            fetch_from(source, destination, known, hoped, wanted.parts, now)
        });
        // Of equal ones each prompt takes another: the first one would be the source of all.
        let own = prompt_cache::chain_hashes(wanted.parts).last()?.0;
        let order = |fetch: &PromptFetch| {
            let weight = placement::rendezvous_hash(&fetch.source, own);
            (fetch.most, fetch.tokens.get(), Reverse(fetch.ends), weight)
        };
        fetches.max_by_key(order)
    }
}

/// What an engine would fetch from one that is known to keep so many tokens of a prompt, and
/// may keep more.
fn fetch_from(
    source: &UpstreamState,
    destination: &UpstreamState,
    known: u64,
    hoped: u64,
    parts: &[PromptPart],
    now: Time,
) -> Option<PromptFetch> {
    let kept = destination.cache.fetchable_tokens(parts);
    let most = known.max(hoped).checked_sub(kept)?;
    if most == 0 || source.transfers.under_way(now) >= MAX_FROM_SOURCE {
        return None;
    }
    let begins = source
        .transfers
        .free_at(now)
        .max(destination.transfers.free_at(now));
    let lasts_ms = TransferSpeed::between(source, destination)?.millis_for(most);
    let ends = begins + Duration::from_secs_f64(lasts_ms / 1_000.0);
    if ends.since(now).as_secs_f64() * 1_000.0 >= destination.prefill_ms(most) {
        return None;
    }
    let tokens = known.saturating_sub(kept).min(u64::from(u32::MAX));
    Some(PromptFetch {
        address: source.definition.address(),
        ends,
        most,
        source: source.id.clone(),
        tokens: Tokens::new(tokens as u32),
    })
}
