use super::*;

/// Minimum cost of fetching a token in placement, as a fraction of the cost of prefilling it.
/// However fast the link is, a copy takes memory in which the engine caches other documents.
const MIN_FETCH_COST_SHARE: f64 = 0.3;

/// Copies of a prompt's parts on engines, for the cost of placing the prompt.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromptCopies<'a> {
    /// Most tokens of the prompt that one engine of each software version has prefilled. An engine
    /// can use only what engines of its own version have written.
    max_tokens: Vec<(Option<&'a SoftwareVersion>, u64)>,
}

impl<'a> PromptCopies<'a> {
    /// Records the tokens of the prompt that an engine has prefilled.
    fn add(&mut self, state: &'a UpstreamState, tokens: u64) {
        let version = state.definition.software_version();
        let known = self
            .max_tokens
            .iter_mut()
            .find(|(known, _)| *known == version);
        match known {
            Some((_, max_tokens)) => *max_tokens = tokens.max(*max_tokens),
            None => self.max_tokens.push((version, tokens)),
        }
    }

    /// Most tokens of the prompt that an engine can fetch.
    fn max_tokens_for(&self, state: &UpstreamState) -> u64 {
        let version = state.definition.software_version();
        let known = self.max_tokens.iter().find(|(known, _)| *known == version);
        known.map_or(0, |(_, max_tokens)| *max_tokens)
    }

    /// Number of tokens whose prefill costs as much as fetching and prefilling the `uncached`
    /// tokens of a prompt of `tokens` tokens that an engine lacks.
    pub(crate) fn equivalent_prefill_tokens(
        &self,
        state: &UpstreamState,
        tokens: u64,
        uncached: f64,
    ) -> f64 {
        let cached = tokens as f64 - uncached;
        let fetchable = (self.max_tokens_for(state) as f64 - cached).clamp(0.0, uncached);
        let Some(speed) = TransferSpeed::of(state) else {
            return uncached;
        };
        let prefill_ms = state.prefill_ms(fetchable as u64);
        let fetch_ms = speed.millis_for(fetchable as u64);
        if fetch_ms >= prefill_ms {
            return uncached;
        }
        uncached - fetchable + fetchable * (fetch_ms / prefill_ms).max(MIN_FETCH_COST_SHARE)
    }
}

impl Pool {
    /// Copies of the prompt that is to be placed, on engines from which it can be fetched.
    pub(crate) fn copies_of<'a>(
        &'a self,
        request: &'a PlacementRequest<'_>,
        now: Time,
    ) -> PromptCopies<'a> {
        let mut copies = PromptCopies::default();
        for state in self.transfer_sources(request.target, request.avoid, now) {
            copies.add(state, state.cache.fetchable_tokens(request.parts));
        }
        copies
    }
}
