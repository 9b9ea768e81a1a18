use super::*;

/// What a request asks of its upstream.
#[derive(Debug)]
pub(crate) struct PlacementRequest<'a> {
    /// Upstreams that it has failed on.
    pub(crate) avoid: &'a [UpstreamId],
    /// Engines to which the choice of each kind is narrowed; `None` for all.
    pub(crate) max_candidates: Option<usize>,
    /// When its first token is due.
    pub(crate) first_token_due: Time,
    /// Whether its prompt is long, by those seen lately.
    pub(crate) has_long_prompt: bool,
    /// Token time that it needs; `None` if it can miss its target anyway.
    pub(crate) between_token_target_ms: Option<u64>,
    /// Parts of its prompt in order, where they are known.
    pub(crate) parts: &'a [PromptPart],
    /// Whether long prompts beside it can make it late.
    pub(crate) is_pause_sensitive: bool,
    pub(crate) prefix: Option<PrefixHash>,
    pub(crate) rank: Rank,
    /// Part of the engines that is for streams that long prompts can make late.
    pub(crate) stream_share: f64,
    pub(crate) target: &'a Target,
}

impl PlacementRequest<'_> {
    /// Whether the request has not failed on an upstream.
    pub(crate) fn has_not_failed_on(&self, state: &UpstreamState) -> bool {
        !self.avoid.contains(&state.id)
    }
}
