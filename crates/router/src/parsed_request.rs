use super::*;

/// What a request asks for, by its path and body.
#[derive(Debug)]
pub(crate) struct ParsedRequest {
    pub(crate) max_output: Option<Tokens>,
    /// Path and query for the upstream.
    pub(crate) path: String,
    pub(crate) prefix: Option<PrefixHash>,
    pub(crate) prompt_tokens: Tokens,
    pub(crate) target: Target,
}
