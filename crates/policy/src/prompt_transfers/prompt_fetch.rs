use super::*;

/// Parts of a prompt that an engine fetches from another engine before it prefills the rest.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct PromptFetch {
    /// Address of the source.
    pub(crate) address: SocketAddr,
    /// When the transfer is expected to end.
    pub(crate) expected_end: Time,
    /// Most tokens that the source may have cached beyond those that the destination has.
    pub(crate) max_tokens: u64,
    /// The engine that has the parts cached, or may have.
    pub(crate) source: UpstreamId,
    /// Tokens that the source is known to have prefilled beyond those that the destination has.
    pub(crate) known_tokens: Tokens,
}
