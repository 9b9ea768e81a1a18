use super::*;

/// Identifies a prompt part among the prompts for all targets. The same part may be harmless for
/// the upstreams of another target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PromptPartKey {
    /// Id of the part.
    pub id: u64,
    /// Hash of the target's name.
    target_hash: u64,
}

impl PromptPartKey {
    /// The key of a part of prompts for the given target.
    pub fn new(target: &str, id: u64) -> Self {
        let digest: [u8; 32] = Sha256::digest(target.as_bytes()).into();
        let target_hash = digest[..8]
            .iter()
            .fold(0, |hash, byte| hash << 8 | u64::from(*byte));
        Self { id, target_hash }
    }
}

impl Display for PromptPartKey {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.id)
    }
}
