use super::*;

/// Most crashes in one note: with them it fits into one packet.
pub const MAX_CRASHES: usize = 12;

/// An upstream that ended while a request ran there or waited there to run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Crash {
    /// How long ago.
    pub age_ms: u32,
    /// The request, as one of its team.
    pub fingerprint: Fingerprint,
    /// Whether little speaks against the request: its answer had begun, or an identical one
    /// had lately run to its end.
    pub is_weak: bool,
    /// The upstream; its id holds the start, where upstreams tell it.
    pub upstream: UpstreamId,
}

/// A request that ran to its end, so that earlier crashes say nothing against it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClearedRequest {
    /// How long ago it did.
    pub age_ms: u32,
    /// The request, as one of its team.
    pub fingerprint: Fingerprint,
}

/// Tells another host, in one datagram, which requests were on upstreams that ended. One
/// may be lost: each crash is announced several times.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNote {
    /// Requests of which the sender had announced crashes, and that ran to their end there since.
    pub cleared: Vec<ClearedRequest>,
    /// What the sender saw itself. What it received is not passed on.
    pub crashes: Vec<Crash>,
    /// The sender.
    pub host: HostId,
    /// Version of this protocol.
    pub protocol: u32,
}

impl CrashNote {
    /// The note as a datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        datagram::encode(datagram::Kind::Crash, token, self)
    }

    /// Reads a datagram; one without the right mark is not a note of this kind.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let note: Self = datagram::decode(datagram::Kind::Crash, token, datagram)?;
        MessageError::check_protocol(note.protocol)?;
        MessageError::check_size("cleared", note.cleared.len(), MAX_CRASHES)?;
        MessageError::check_size("crashes", note.crashes.len(), MAX_CRASHES)?;
        Ok(note)
    }
}
