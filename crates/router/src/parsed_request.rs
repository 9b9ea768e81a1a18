use super::*;

/// The fields that the router reads from the path and the body of a request.
#[derive(Debug)]
pub(crate) struct ParsedRequest {
    pub(crate) max_output: Option<Tokens>,
    /// Path and query that are sent to the upstream.
    pub(crate) path: String,
    pub(crate) prefix: Option<PrefixHash>,
    pub(crate) prompt_tokens: Tokens,
    pub(crate) target: Target,
}
