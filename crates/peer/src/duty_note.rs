use super::*;

/// Tells another host, in one datagram, who holds the lease of the duties that one host does
/// for all. One may be lost: the holder tells it again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DutyNote {
    /// The holder.
    pub host: HostId,
    /// Version of this protocol.
    pub protocol: u32,
    /// The last window of usage that needs to be announced no more.
    pub reported_through: u64,
    /// The holder's fencing token.
    pub token: u64,
    /// Unix time by most hosts, in milliseconds.
    pub unix_ms: u64,
}

impl DutyNote {
    /// The note as a datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        datagram::encode(datagram::Kind::Duty, token, self)
    }

    /// Reads a datagram; one without the right mark is not a note of this kind.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let note: Self = datagram::decode(datagram::Kind::Duty, token, datagram)?;
        MessageError::check_protocol(note.protocol)?;
        Ok(note)
    }
}
