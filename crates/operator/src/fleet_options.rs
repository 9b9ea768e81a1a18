use super::*;

/// The fleet of a scenario, all in one process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetOptions {
    /// Size and speed of each engine.
    #[serde(default)]
    pub engine: EngineOptions,
    /// Model engines.
    pub engines: usize,
    /// Failure domains; hosts and upstreams are spread over them in turn.
    pub failure_domains: Vec<FailureDomainId>,
    /// Entry hosts.
    pub hosts: usize,
    /// Plain services by id, each with its replicas; not idempotent.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, usize>,
    /// Rules that keep trial traffic apart.
    pub trial: TrialRules,
}
