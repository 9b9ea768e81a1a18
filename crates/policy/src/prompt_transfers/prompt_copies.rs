use super::*;

/// Least part of reading a token that fetching it counts as, in placement: a copy takes memory
/// in which the engine keeps other documents, however fast the link.
const MIN_FETCH_COST_SHARE: f64 = 0.3;

/// What engines have read of a prompt, for the cost of placing it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PromptCopies {
    /// Most tokens of it that one engine has read.
    max_tokens: u64,
}

impl PromptCopies {
    /// Tokens whose reading costs as much as reading and fetching what an engine lacks.
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
    /// What engines have read of a prompt that is to be placed.
    pub(crate) fn copies_of(&self, request: &PlacementRequest<'_>, now: Time) -> PromptCopies {
        let sources = self.transfer_sources(request.target, request.avoid, now);
        let tokens = sources.map(|state| state.cache.fetchable_tokens(request.parts));
        PromptCopies {
            max_tokens: tokens.max().unwrap_or_default(),
        }
    }
}
