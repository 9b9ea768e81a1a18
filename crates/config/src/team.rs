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
    /// What it pays for.
    pub plan: Plan,
    /// Its part of a tier relative to other teams, 1 or more.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}
