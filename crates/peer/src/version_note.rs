use super::*;

/// Announces in one datagram that the sender can serve a version of the configuration. The datagram
/// may be lost, because other hosts announce the same version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionNote {
    /// The sender.
    pub host: HostId,
    /// Version of this protocol.
    pub protocol: u32,
    /// The version that the sender can serve.
    pub version: ConfigVersion,
}

impl VersionNote {
    /// Encodes the note as an authenticated datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        datagram::encode(datagram::Kind::Version, token, self)
    }

    /// Decodes a datagram. Fails unless the datagram has a valid authentication tag for this kind
    /// of note.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let note: Self = datagram::decode(datagram::Kind::Version, token, datagram)?;
        MessageError::check_protocol(note.protocol)?;
        Ok(note)
    }
}
