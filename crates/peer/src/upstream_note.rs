use super::*;

/// Maximum number of limits in one note, so that the note fits into one packet.
pub const MAX_LIMITS: usize = 20;

/// Maximum number of leaving upstreams, and of rejecting ones, in one note.
pub const MAX_LEAVING: usize = 20;

/// Tells another host in one datagram what upstreams reported about themselves in their responses.
/// The datagram may be lost, so each change is announced several times.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamNote {
    /// The sender.
    pub host: HostId,
    /// Upstreams that are leaving, according to responses to the sender's own requests.
    pub leaving: Vec<UpstreamId>,
    /// Rate limits that upstreams advertise, as far as the sender knows them.
    pub limits: Vec<LimitNote>,
    /// Version of this protocol.
    pub protocol: u32,
    /// Brittle upstreams that have just rejected a request of the sender. Encoded after the rest of
    /// the note, where hosts of the previous release ignore them.
    #[serde(skip)]
    pub rejected: Vec<UpstreamId>,
}

impl UpstreamNote {
    /// Encodes the note as an authenticated datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        let kind = datagram::Kind::Upstream;
        if self.rejected.is_empty() {
            return datagram::encode(kind, token, self);
        }
        datagram::encode(kind, token, &(self, &self.rejected))
    }

    /// Decodes a datagram. Fails unless the datagram has a valid authentication tag for this kind
    /// of note.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let kind = datagram::Kind::Upstream;
        let (mut note, rest): (Self, &[u8]) = datagram::decode_prefix(kind, token, datagram)?;
        if !rest.is_empty() {
            note.rejected =
                postcard::from_bytes(rest).map_err(|_| MessageError::InvalidDatagram)?;
        }
        MessageError::check_protocol(note.protocol)?;
        MessageError::check_size("leaving", note.leaving.len(), MAX_LEAVING)?;
        MessageError::check_size("limits", note.limits.len(), MAX_LIMITS)?;
        MessageError::check_size("rejected", note.rejected.len(), MAX_LEAVING)?;
        Ok(note)
    }
}
