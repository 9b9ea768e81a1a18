use super::*;

/// An upstream: a model engine or a replica of a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum Upstream {
    /// A model engine.
    Engine(Engine),
    /// A replica of a service.
    Service(ServiceReplica),
}

impl Upstream {
    /// Address that the upstream listens on.
    pub const fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address,
            Self::Service(replica) => replica.address,
        }
    }

    /// Failure domain of the upstream.
    pub const fn failure_domain(&self) -> &FailureDomainId {
        match self {
            Self::Engine(engine) => &engine.failure_domain,
            Self::Service(replica) => &replica.failure_domain,
        }
    }

    /// Path of the health check.
    pub fn health_path(&self) -> &str {
        match self {
            Self::Engine(engine) => &engine.health_path,
            Self::Service(replica) => &replica.health_path,
        }
    }

    /// Requests that the upstream can run at the same time.
    pub const fn slots(&self) -> u32 {
        match self {
            Self::Engine(engine) => engine.slots,
            Self::Service(replica) => replica.slots,
        }
    }

    /// Version of the upstream's software.
    pub const fn software_version(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Engine(engine) => engine.software_version.as_ref(),
            Self::Service(replica) => replica.software_version.as_ref(),
        }
    }
}
