use super::*;

/// What an engine fetches of a prompt before it reads the rest.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PromptFetch {
    /// Where the source listens.
    pub(crate) address: SocketAddr,
    /// When the transfer is expected to end.
    pub(crate) expected_end: Time,
    /// Most tokens that the source may keep beyond what the engine keeps.
    pub(crate) max_tokens: u64,
    /// The engine that keeps the parts, or may keep them.
    pub(crate) source: UpstreamId,
    /// Tokens that the source is known to have read beyond what the engine keeps.
    pub(crate) known_tokens: Tokens,
}
