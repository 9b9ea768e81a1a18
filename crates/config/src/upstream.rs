use super::*;

/// One upstream.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Upstream {
    /// A model engine.
    Engine(Engine),
    /// A replica of a plain service.
    Service(ServiceReplica),
}

impl Upstream {
    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address,
            Self::Service(replica) => replica.address,
        }
    }

    /// Failure domain it stands in.
    pub const fn failure_domain(&self) -> &FailureDomainId {
        match self {
            Self::Engine(engine) => &engine.failure_domain,
            Self::Service(replica) => &replica.failure_domain,
        }
    }

    /// Path of its health check.
    pub fn health_path(&self) -> &str {
        match self {
            Self::Engine(engine) => &engine.health_path,
            Self::Service(replica) => &replica.health_path,
        }
    }

    /// Requests it runs at one moment.
    pub const fn slots(&self) -> u32 {
        match self {
            Self::Engine(engine) => engine.slots,
            Self::Service(replica) => replica.slots,
        }
    }
}
