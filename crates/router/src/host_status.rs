use super::*;

/// What a host shows of itself.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostStatus {
    /// Whether it knows that a newer configuration exists.
    pub behind: bool,
    /// Whether it knows that its configuration is the newest one.
    pub current: bool,
    /// Upstreams that get no new work until a probe succeeds.
    pub ejected: Vec<UpstreamId>,
    /// Failure domain it stands in.
    pub failure_domain: FailureDomainId,
    /// Other hosts that it observes, in an installation.
    #[serde(rename = "heard")]
    pub observed: Vec<HostId>,
    /// Upstreams on which this host has slots of its own.
    pub home: Arc<Vec<UpstreamId>>,
    /// Id.
    pub host: HostId,
    /// Hosts of the installation, by its table; 0 before that was read.
    #[serde(default)]
    pub hosts_listed: u32,
    /// Upstreams that get no new work because they are leaving.
    pub leaving: Vec<UpstreamId>,
    /// Upstreams that it does not reach by itself while other hosts do.
    #[serde(default)]
    pub out_of_reach: Vec<UpstreamId>,
    /// Where it is in its life.
    pub phase: HostPhase,
    /// Requests queued.
    pub queued: usize,
    /// Host that it asks for its shares.
    #[serde(rename = "steward")]
    pub coordinator: HostId,
    /// Upstreams that it uses though the directory lists them no more.
    #[serde(default)]
    pub unlisted: Vec<UpstreamId>,
    /// Version of the configuration in force.
    pub version: Option<ConfigVersion>,
}
