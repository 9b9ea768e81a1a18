use super::*;

/// The fleet of a scenario: the hosts and the stand-ins for its upstreams.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetOptions {
    /// Capacity and speed of each engine.
    #[serde(default)]
    pub engine: EngineOptions,
    /// Number of model engines.
    pub engines: usize,
    /// Failure domains, to which hosts and upstreams are assigned round-robin.
    pub failure_domains: Vec<FailureDomainId>,
    /// Number of hosts.
    pub hosts: usize,
    /// Number of replicas of each plain service. The services are not idempotent.
    #[serde(default)]
    pub services: BTreeMap<ServiceId, usize>,
    /// Limits on trial traffic.
    pub trial: TrialRules,
}
