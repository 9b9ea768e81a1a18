use super::*;

/// Minimum cost of fetching a token in placement, as a fraction of the cost of prefilling it.
/// However fast the link is, a copy takes memory in which the engine caches other documents.
const MIN_FETCH_COST_SHARE: f64 = 0.3;

/// Copies of a prompt's parts on engines, for the cost of placing the prompt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PromptCopies {
    /// Most tokens of the prompt that one engine has prefilled.
    max_tokens: u64,
}

impl PromptCopies {
    /// Number of tokens whose prefill costs as much as fetching and prefilling the `uncached`
    /// tokens of a prompt of `tokens` tokens that an engine lacks.
    pub(crate) fn equivalent_prefill_tokens(
        self,
        state: &UpstreamState,
        tokens: u64,
        uncached: f64,
    ) -> f64 {
        let cached = tokens as f64 - uncached;
        let fetchable = (self.max_tokens as f64 - cached).clamp(0.0, uncached);
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
    pub(crate) fn copies_of(&self, request: &PlacementRequest<'_>, now: Time) -> PromptCopies {
        let sources = self.transfer_sources(request.target, request.avoid, now);
        let tokens = sources.map(|state| state.cache.fetchable_tokens(request.parts));
        PromptCopies {
            max_tokens: tokens.max().unwrap_or_default(),
        }
    }
}
