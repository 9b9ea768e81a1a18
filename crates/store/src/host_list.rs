use super::*;

/// One host in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedHost {
    /// Failure domain of the host.
    pub failure_domain: FailureDomainId,
    /// Id.
    pub host: HostId,
    /// Address that other hosts connect to.
    pub peer_address: SocketAddr,
    /// State.
    pub state: ListedState,
}

/// One upstream in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedUpstream {
    /// State.
    pub state: ListedState,
    /// Id.
    pub upstream: UpstreamId,
}

/// The platform's list of hosts and upstreams. Changes appear in the list with a delay.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostList {
    /// Hosts that run the router.
    pub hosts: Vec<ListedHost>,
    /// Upstreams.
    pub upstreams: Vec<ListedUpstream>,
}
