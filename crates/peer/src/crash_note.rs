use super::*;

/// Maximum number of crashes in one note, so that the note fits into one packet.
pub const MAX_CRASHES: usize = 12;

/// A request that was running or queued on an upstream when that upstream crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// Time since the crash.
    pub age_ms: u32,
    /// Fingerprint of the request within its team.
    pub fingerprint: Fingerprint,
    /// Whether the crash is weak evidence against the request: its response had begun, or an
    /// identical request had completed recently.
    pub is_weak: bool,
    /// The upstream that crashed. The id includes the incarnation if the upstream reports it.
    pub upstream: UpstreamId,
}

/// A request that completed, so that earlier crashes are no evidence against it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClearedRequest {
    /// Time since the request completed.
    pub age_ms: u32,
    /// Fingerprint of the request within its team.
    pub fingerprint: Fingerprint,
}

/// Tells another host in one datagram which requests were on upstreams that crashed. The datagram
/// may be lost, so each crash is announced several times.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNote {
    /// Requests that completed on the sender after the sender had announced crashes of them.
    pub cleared: Vec<ClearedRequest>,
    /// Crashes that the sender observed itself. Crashes that it received from others are not
    /// forwarded.
    pub crashes: Vec<Crash>,
    /// The sender.
    pub host: HostId,
    /// Version of this protocol.
    pub protocol: u32,
}

impl CrashNote {
    /// Encodes the note as an authenticated datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        datagram::encode(datagram::Kind::Crash, token, self)
    }

    /// Decodes a datagram. Fails unless the datagram has a valid authentication tag for this kind
    /// of note.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let note: Self = datagram::decode(datagram::Kind::Crash, token, datagram)?;
        MessageError::check_protocol(note.protocol)?;
        MessageError::check_size("cleared", note.cleared.len(), MAX_CRASHES)?;
        MessageError::check_size("crashes", note.crashes.len(), MAX_CRASHES)?;
        Ok(note)
    }
}
