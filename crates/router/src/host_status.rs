use super::*;

/// The published status of a host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostStatus {
    /// Whether the host knows that a newer configuration exists.
    pub behind: bool,
    /// Whether the host knows that its configuration is the newest.
    pub current: bool,
    /// Upstreams that get no new requests until a probe succeeds.
    pub ejected: Vec<UpstreamId>,
    /// Failure domain of the host.
    pub failure_domain: FailureDomainId,
    /// Other hosts that this host observes, in an installation.
    #[serde(rename = "heard")]
    pub observed: Vec<HostId>,
    /// Upstreams on which this host has slots of its own.
    pub home: Arc<Vec<UpstreamId>>,
    /// Id of the host.
    pub host: HostId,
    /// Number of hosts in the table of the installation; 0 before the table has been read.
    #[serde(default)]
    pub hosts_listed: u32,
    /// Upstreams that get no new requests because they are leaving.
    pub leaving: Vec<UpstreamId>,
    /// Upstreams that this host cannot reach directly, while other hosts can.
    #[serde(default)]
    pub out_of_reach: Vec<UpstreamId>,
    /// Phase of the host's life cycle.
    pub phase: HostPhase,
    /// Number of queued requests.
    pub queued: usize,
    /// Coordinator from which the host requests its slot shares.
    #[serde(rename = "steward")]
    pub coordinator: HostId,
    /// Upstreams that the host still uses although the directory no longer lists them.
    #[serde(default)]
    pub unlisted: Vec<UpstreamId>,
    /// Version of the configuration in force.
    pub version: Option<ConfigVersion>,
}
