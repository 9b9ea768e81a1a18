use super::*;

/// Most limits in one note: with them it fits into one packet.
pub const MAX_LIMITS: usize = 20;

/// What an upstream names as its limit for all hosts together.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NamedLimit {
    /// How long ago the request was sent whose answer named it.
    pub age_ms: u32,
    /// Requests that it takes from all hosts together; `None` for any number.
    pub limit: Option<Rate>,
    /// The upstream.
    pub upstream: UpstreamId,
}

/// Tells another host, in one datagram, what upstreams name as their limits. One may be lost:
/// each change is told several times.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitNote {
    /// The sender.
    pub host: HostId,
    /// What upstreams name, as far as the sender knows.
    pub limits: Vec<NamedLimit>,
    /// Version of this protocol.
    pub protocol: u32,
}

impl LimitNote {
    /// The note as a datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        datagram::seal(datagram::Kind::Limit, token, self)
    }

    /// Reads a datagram; one without the right mark is not a note of this kind.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let note: Self = datagram::open(datagram::Kind::Limit, token, datagram)?;
        MessageError::check_protocol(note.protocol)?;
        MessageError::check_size("limits", note.limits.len(), MAX_LIMITS)?;
        Ok(note)
    }
}
