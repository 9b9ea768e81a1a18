use super::*;

/// What a host shows of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostStatus {
    /// Failure domain it stands in.
    pub failure_domain: FailureDomainId,
    /// Id.
    pub host: HostId,
    /// Where it is in its life.
    pub phase: HostPhase,
    /// Requests queued.
    pub queued: usize,
    /// Version of the configuration in force.
    pub version: Option<ConfigVersion>,
}
