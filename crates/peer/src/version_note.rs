use super::*;

/// Tells another host, in one datagram, that the sender can hand a version of the
/// configuration over. One may be lost: others tell the same.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionNote {
    /// The sender.
    pub host: HostId,
    /// Version of this protocol.
    pub protocol: u32,
    /// The version.
    pub version: ConfigVersion,
}

impl VersionNote {
    /// The note as a datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        datagram::encode(datagram::Kind::Version, token, self)
    }

    /// Reads a datagram; one without the right mark is not a note.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let note: Self = datagram::decode(datagram::Kind::Version, token, datagram)?;
        MessageError::check_protocol(note.protocol)?;
        Ok(note)
    }
}
