use super::*;

/// One team and what it may use.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Classes that its requests may name.
    pub classes: BTreeSet<ClassId>,
    /// Class of a request that names none.
    pub default_class: ClassId,
    /// SHA-256 of its bearer key, as 64 hex digits.
    pub key_sha256: KeyHash,
    /// Requests queued or running at one moment.
    pub max_concurrent: u32,
    /// Sustained rate of requests.
    pub max_requests_per_s: Rate,
    /// SHA-256 of further bearer keys.
    #[serde(default)]
    pub other_keys_sha256: BTreeSet<KeyHash>,
    /// What it pays for.
    pub plan: Plan,
    /// Tier of its requests, in place of the tier of their class.
    #[serde(default)]
    pub tier: Option<Tier>,
    /// Its part of a tier relative to other teams, 1 or more.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

impl Team {
    /// SHA-256 of all its bearer keys.
    pub fn key_hashes(&self) -> impl Iterator<Item = KeyHash> {
        let others = self.other_keys_sha256.iter().copied();
        std::iter::once(self.key_sha256).chain(others)
    }
}

fn default_weight() -> u32 {
    1
}
