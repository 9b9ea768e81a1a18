use super::*;

/// Most priorities in one question: with them it fits into one packet.
pub const MAX_WANTED: usize = 16;

/// Tokens that requests of one priority wait for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WantedTokens {
    /// How many.
    pub count: u32,
    /// Priority of the requests, 0 the most urgent; `None` if none waits yet.
    pub priority: Option<u8>,
}

/// Asks the keeper of an upstream's limit for tokens, in one datagram. A token is the right to
/// send the upstream one request within a moment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TokenRequest {
    /// When it was sent, on the sender's own clock; the grant repeats it.
    pub asked_us: u64,
    /// The sender.
    pub host: HostId,
    /// What the sender knows of the limit.
    pub limit: AdvertisedLimit,
    /// Version of this protocol.
    pub protocol: u32,
    /// Tokens that are wanted, the most urgent first; none to ask only whether the keeper is
    /// there.
    pub wanted: Vec<WantedTokens>,
    /// How long the tokens are wanted.
    pub wanted_ms: u32,
}

impl TokenRequest {
    /// The message as a datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        datagram::encode(datagram::Kind::TokenRequest, token, self)
    }

    /// Reads a datagram; one without the right mark is not a message of this kind.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let request: Self = datagram::decode(datagram::Kind::TokenRequest, token, datagram)?;
        MessageError::check_protocol(request.protocol)?;
        MessageError::check_size("wanted", request.wanted.len(), MAX_WANTED)?;
        Ok(request)
    }
}
