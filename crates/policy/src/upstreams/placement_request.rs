use super::*;

/// What a request requires of its upstream.
#[derive(Debug)]
pub(crate) struct PlacementRequest<'a> {
    /// Upstreams on which the request has failed.
    pub(crate) avoid: &'a [UpstreamId],
    /// Maximum number of engines that each preselection keeps for the comparison of costs; `None`
    /// to compare all engines.
    pub(crate) max_candidates: Option<usize>,
    /// When the first token is due.
    pub(crate) first_token_due: Time,
    /// Whether the prompt is long compared with recent prompts.
    pub(crate) has_long_prompt: bool,
    /// Longest time between tokens that meets the target; `None` if the request is expected to miss
    /// its first-token target on any upstream, so that it leaves the fast upstreams to other
    /// requests.
    pub(crate) between_token_target_ms: Option<u64>,
    /// Parts of the prompt in order; empty if they are not known.
    pub(crate) parts: &'a [PromptPart],
    /// Whether the class has the shortest target for pauses between tokens, so that long prompts on
    /// the same engine can make the request late.
    pub(crate) is_pause_sensitive: bool,
    /// Hash of the start of the prompt.
    pub(crate) prefix: Option<PrefixHash>,
    pub(crate) rank: Rank,
    /// Share of the engines that is reserved for pause-sensitive streams.
    pub(crate) stream_share: f64,
    pub(crate) target: &'a Target,
    pub(crate) version_bound: &'a VersionBound,
}

impl PlacementRequest<'_> {
    /// Whether the request has not failed on an upstream.
    pub(crate) fn has_not_failed_on(&self, state: &UpstreamState) -> bool {
        !self.avoid.contains(&state.id)
    }
}
