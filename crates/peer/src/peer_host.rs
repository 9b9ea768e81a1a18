use super::*;

/// A host as listed in the installation's store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerHost {
    /// Address at which other hosts reach this host.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: FailureDomainId,
    /// Id of the host.
    pub host: HostId,
    /// Whether the host was asked to leave.
    pub leaving: bool,
}
