use super::*;

/// How the upstreams of a service in a failure domain are divided in a large installation, where
/// hosts know only some of them. Each part is half of the next larger one; the numbers say how
/// often the upstreams are halved.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceDivision {
    /// Halvings to get the upstreams that all hosts know.
    pub common: u32,
    /// The failure domain.
    pub domain: FailureDomainId,
    /// Halvings to get the upstreams that hosts of the same failure domain know; `None` in another
    /// domain.
    pub near: Option<u32>,
    /// Name of the service.
    pub service: String,
}
