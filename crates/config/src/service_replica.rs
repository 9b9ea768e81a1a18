use super::*;

/// One replica of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceReplica {
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain it stands in.
    pub failure_domain: FailureDomainId,
    /// Path of its health check.
    #[serde(default = "engine::default_health_path")]
    pub health_path: String,
    /// Service that it is a replica of.
    pub service: ServiceId,
    /// Requests it runs at one moment.
    pub slots: u32,
}
