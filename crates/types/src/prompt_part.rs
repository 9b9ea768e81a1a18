use super::*;

/// A part of a prompt, by an id that its requests share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct PromptPart {
    /// Id, the same in every request that holds this part.
    pub id: u64,
    /// Length.
    pub tokens: Tokens,
}
