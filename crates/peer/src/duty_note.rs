use super::*;

/// Announces in one datagram which host holds the lease for the duties that a single host does for
/// the whole installation. The datagram may be lost, so the holder repeats it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DutyNote {
    /// The lease holder, which is the sender.
    pub host: HostId,
    /// Version of this protocol.
    pub protocol: u32,
    /// The last usage window that has been reported, so that hosts need not announce its counts
    /// anymore.
    pub reported_through: u64,
    /// The fencing token of the lease holder.
    pub token: u64,
    /// Unix time according to the majority of the hosts, in milliseconds.
    pub unix_ms: u64,
}

impl DutyNote {
    /// Encodes the note as an authenticated datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        datagram::encode(datagram::Kind::Duty, token, self)
    }

    /// Decodes a datagram. Fails unless the datagram has a valid authentication tag for this kind
    /// of note.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let note: Self = datagram::decode(datagram::Kind::Duty, token, datagram)?;
        MessageError::check_protocol(note.protocol)?;
        Ok(note)
    }
}
