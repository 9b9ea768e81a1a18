use super::*;

/// Reports a host's state to the coordinator of its failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The host's queued and running requests by target, from which its share is computed.
    pub demand: BTreeMap<String, Demand>,
    /// Failure domain of the host.
    pub failure_domain: FailureDomainId,
    /// The host that sends the heartbeat.
    pub host: HostId,
    /// Incarnation of the host.
    pub incarnation: Incarnation,
    /// Upstreams that the host knows to be leaving.
    pub leaving: Vec<UpstreamId>,
    /// Lifecycle phase of the host.
    pub phase: PeerPhase,
    /// Version of this protocol.
    pub protocol: u32,
    /// Version of the configuration in force at the host.
    pub version: Option<ConfigVersion>,
}

impl Heartbeat {
    /// Checks what the decoder does not check: the protocol version and the sizes.
    pub fn check(&self) -> Result<(), MessageError> {
        MessageError::check_protocol(self.protocol)?;
        MessageError::check_size("targets", self.demand.len(), MAX_TARGETS)?;
        MessageError::check_size("upstreams", self.leaving.len(), MAX_UPSTREAMS)
    }
}
