use super::*;

/// Most limits in one note: with them it fits into one packet.
pub const MAX_LIMITS: usize = 20;

/// Most leaving upstreams in one note.
pub const MAX_LEAVING: usize = 20;

/// Tells another host, in one datagram, what upstreams say of themselves in their answers. One
/// may be lost: each change is announced several times.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamNote {
    /// The sender.
    pub host: HostId,
    /// Upstreams that leave, by answers to the sender's own requests.
    pub leaving: Vec<UpstreamId>,
    /// What upstreams name as their limits, as far as the sender knows.
    pub limits: Vec<AdvertisedLimit>,
    /// Version of this protocol.
    pub protocol: u32,
    /// Brittle upstreams that have just rejected a request of the sender. They follow the
    /// rest of the note, where hosts of the release before pass over them.
    #[serde(skip)]
    pub rejected: Vec<UpstreamId>,
}

impl UpstreamNote {
    /// The note as a datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        let kind = datagram::Kind::Upstream;
        if self.rejected.is_empty() {
            return datagram::encode(kind, token, self);
        }
        datagram::encode(kind, token, &(self, &self.rejected))
    }

    /// Reads a datagram; one without the right mark is not a note of this kind.
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
