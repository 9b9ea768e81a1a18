use super::*;

/// A model engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Address that the engine listens on.
    pub address: SocketAddr,
    /// Whether the engine rejects an order that carries an outdated fencing token. If absent, the
    /// engine is assumed to ignore the token.
    #[serde(default)]
    pub checks_fence: bool,
    /// Failure domain of the engine.
    pub failure_domain: FailureDomainId,
    /// Path of the health check.
    #[serde(default = "default_health_path")]
    pub health_path: String,
    /// Bandwidth at which the engine fetches parts of prompts from other engines; `None` if the
    /// engine can't fetch them.
    #[serde(default)]
    pub link: Option<Bandwidth>,
    /// Tokens that fit into the engine's memory, for cached prompts and running requests together.
    #[serde(default)]
    pub memory: Option<Tokens>,
    /// Models that the engine serves.
    pub models: BTreeSet<ModelId>,
    /// Memory that one token of a prompt takes; `None` if unknown.
    #[serde(default)]
    pub prompt_token_bytes: Option<ByteSize>,
    /// Requests that the engine can queue beyond its slots. The queue is ordered by priority.
    pub queue_bound: u32,
    /// Whether the engine can resume a broken stream after the event that a request names.
    #[serde(default)]
    pub resumes: bool,
    /// Requests that the engine can run at the same time.
    pub slots: u32,
    /// Version of the engine's software; engines without one are assumed to be alike.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software_version: Option<SoftwareVersion>,
}

/// Health check path of an upstream whose definition has none.
pub(crate) fn default_health_path() -> String {
    "/health".to_string()
}
