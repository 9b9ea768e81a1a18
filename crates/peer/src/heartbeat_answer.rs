use super::*;

/// The coordinator's answer to a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeartbeatAnswer {
    /// The host's shares of the groups of upstreams in its failure domain. `None` if the answering
    /// host does not consider itself the coordinator.
    pub grants: Option<Vec<Grant>>,
    /// Incarnation of the coordinator.
    pub incarnation: Incarnation,
    /// Upstreams that the coordinator knows to be leaving.
    pub leaving: Vec<UpstreamId>,
    /// Version of this protocol.
    pub protocol: u32,
    /// How long the shares are valid, counted on the receiver's clock from the time at which it
    /// sent the heartbeat.
    pub valid_ms: u64,
    /// Version of the configuration in force at the coordinator.
    pub version: Option<ConfigVersion>,
}

/// Maximum validity of shares.
const MAX_VALID_MS: u64 = 60_000;

impl HeartbeatAnswer {
    /// Checks what the decoder does not check: the protocol version, the sizes and the validity.
    pub fn check(&self) -> Result<(), MessageError> {
        MessageError::check_protocol(self.protocol)?;
        let grants = self.grants.as_ref().map_or(0, Vec::len);
        MessageError::check_size("grants", grants, MAX_TARGETS)?;
        MessageError::check_size("upstreams", self.leaving.len(), MAX_UPSTREAMS)?;
        MessageError::check_size(
            "milliseconds",
            self.valid_ms as usize,
            MAX_VALID_MS as usize,
        )
    }
}
