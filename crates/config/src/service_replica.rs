use super::*;

/// One replica of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceReplica {
    /// Address that the replica listens on.
    pub address: SocketAddr,
    /// Failure domain of the replica.
    pub failure_domain: FailureDomainId,
    /// Path of the health check.
    #[serde(default = "engine::default_health_path")]
    pub health_path: String,
    /// Service that this upstream is a replica of.
    pub service: ServiceId,
    /// Requests that the replica can run at the same time.
    pub slots: u32,
    /// Version of the replica's software; replicas without one are assumed to be alike.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software_version: Option<SoftwareVersion>,
}
