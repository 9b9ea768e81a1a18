use super::*;

/// A part of a prompt, identified by an id that all requests with this part share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PromptPart {
    /// Id, the same in every request that contains this part.
    pub id: u64,
    /// Length of the part.
    pub tokens: Tokens,
}
