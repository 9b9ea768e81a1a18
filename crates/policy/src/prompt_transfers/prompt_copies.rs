use super::*;

/// Least part of reading a token that fetching it counts as, in placement: a copy takes memory
/// in which the engine keeps other documents, however fast the link.
const MIN_COPY_SHARE: f64 = 0.3;

/// What engines have read of a prompt, for the cost of placing it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PromptCopies {
    /// Most tokens of it that one engine has read.
    most_tokens: u64,
}

impl PromptCopies {
    /// Tokens whose reading costs as much as reading and fetching what an engine lacks.
    pub(crate) fn to_read_equivalent(self, state: &UpstreamState, tokens: u64, unread: f64) -> f64 {
        let kept = tokens as f64 - unread;
        let fetched = (self.most_tokens as f64 - kept).clamp(0.0, unread);
        let Some(speed) = TransferSpeed::of(state) else {
            return unread;
        };
        let read_ms = state.prefill_ms(fetched as u64);
        let fetch_ms = speed.millis_for(fetched as u64);
        if fetch_ms >= read_ms {
            return unread;
        }
        unread - fetched + fetched * (fetch_ms / read_ms).max(MIN_COPY_SHARE)
    }
}

impl Pool {
    /// What engines have read of a prompt that is to be placed.
    pub(crate) fn copies_of(&self, wanted: &PlacementRequest<'_>, now: Time) -> PromptCopies {
        let sources = self.sources(wanted.target, wanted.avoid, now);
        let tokens = sources.map(|state| state.cache.fetchable_tokens(wanted.parts));
        PromptCopies {
            most_tokens: tokens.max().unwrap_or_default(),
        }
    }
}
