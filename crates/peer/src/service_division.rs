use super::*;

/// How the upstreams of a service in a failure domain are divided, where hosts know a part of
/// them: how often they are halved.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceDivision {
    /// Until those are left that all hosts know.
    pub common: u32,
    /// The failure domain.
    pub domain: FailureDomainId,
    /// Until those are left that hosts of this domain know; `None` for another one.
    pub near: Option<u32>,
    /// Name of the service.
    pub service: String,
}
