use super::*;

/// What a router needs of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// The caller's own id of this attempt; upstreams repeat it in their
    /// answers.
    pub attempt: String,
    /// Host name that the caller asked.
    pub hostname: String,
    /// Bearer key, if one was sent.
    pub key: Option<String>,
    /// Longest output that the caller allows, for an engine.
    pub max_output: Option<Tokens>,
    /// Parts of the prompt in order, for an engine.
    pub prompt_parts: Vec<PromptPart>,
    /// Length of the prompt, for an engine.
    pub prompt_tokens: Tokens,
    /// How long the caller will wait.
    pub time_limit: Option<Duration>,
}
