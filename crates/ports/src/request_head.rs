use super::*;

/// The parts of a caller's request that the router needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// The caller's id for this attempt. Upstreams repeat it in their responses.
    pub attempt: String,
    /// Host name in the request.
    pub hostname: String,
    /// API key from the bearer token, if the request has one.
    pub key: Option<String>,
    /// Maximum output length that the caller allows, for requests to an engine.
    pub max_output: Option<Tokens>,
    /// Parts of the prompt in order, for requests to an engine.
    pub prompt_parts: Vec<PromptPart>,
    /// Length of the prompt, for requests to an engine.
    pub prompt_tokens: Tokens,
    /// Stream that the caller takes up after the last event that it received; `None` for a new
    /// request.
    pub resumed_stream: Option<StreamId>,
    /// Time for which the caller waits.
    pub time_limit: Option<Duration>,
}
