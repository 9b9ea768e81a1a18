use super::*;

/// One host in the platform's list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedHost {
    /// Failure domain it stands in.
    pub failure_domain: FailureDomainId,
    /// Id.
    pub host: HostId,
    /// Where other hosts reach it.
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

/// The platform's list of hosts and upstreams. It lags.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HostList {
    /// Entry hosts.
    pub hosts: Vec<ListedHost>,
    /// Upstreams.
    pub upstreams: Vec<ListedUpstream>,
}
