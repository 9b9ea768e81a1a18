use super::*;

/// One team, with its keys, its limits and the classes it may use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Classes that the requests of the team may name.
    pub classes: BTreeSet<ClassId>,
    /// Class of a request that names no class.
    pub default_class: ClassId,
    /// SHA-256 of the team's bearer key, as 64 hex digits.
    pub key_sha256: KeyHash,
    /// Maximum number of requests that are queued or running at the same time.
    pub max_concurrent: u32,
    /// Maximum sustained rate of requests.
    pub max_requests_per_s: Rate,
    /// SHA-256 of further bearer keys.
    #[serde(default)]
    pub other_keys_sha256: BTreeSet<KeyHash>,
    /// Pricing plan.
    pub plan: Plan,
    /// Tier of the team's requests; overrides the tier of their class.
    #[serde(default)]
    pub tier: Option<Tier>,
    /// Weight of the team relative to other teams of the same tier, 1 or more.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

impl Team {
    /// Returns the SHA-256 of each of the bearer keys.
    pub fn key_hashes(&self) -> impl Iterator<Item = KeyHash> {
        let others = self.other_keys_sha256.iter().copied();
        std::iter::once(self.key_sha256).chain(others)
    }
}

fn default_weight() -> u32 {
    1
}
