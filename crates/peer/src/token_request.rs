use super::*;

/// Maximum number of priorities in one request, so that the request fits into one packet.
pub const MAX_WANTED: usize = 16;

/// Tokens for the waiting requests of one priority.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WantedTokens {
    /// Number of tokens.
    pub count: u32,
    /// Priority of the requests, 0 the most urgent; `None` if no request is waiting yet.
    pub priority: Option<u8>,
}

/// Asks the host that issues tokens for an upstream's rate limit for tokens, in one datagram. A
/// token is the right to send one request to the upstream within a short time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TokenRequest {
    /// Time at which the request was sent, on the sender's clock. The grant repeats it.
    pub asked_us: u64,
    /// The sender.
    pub host: HostId,
    /// What the sender knows about the limit.
    pub limit: LimitNote,
    /// Version of this protocol.
    pub protocol: u32,
    /// Tokens that the sender wants, most urgent first. Empty if the sender only checks whether the
    /// issuing host responds.
    pub wanted: Vec<WantedTokens>,
    /// Time for which the tokens are wanted.
    pub wanted_ms: u32,
}

impl TokenRequest {
    /// Encodes the message as an authenticated datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        datagram::encode(datagram::Kind::TokenRequest, token, self)
    }

    /// Decodes a datagram. Fails unless the datagram has a valid authentication tag for this kind
    /// of message.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let request: Self = datagram::decode(datagram::Kind::TokenRequest, token, datagram)?;
        MessageError::check_protocol(request.protocol)?;
        MessageError::check_size("wanted", request.wanted.len(), MAX_WANTED)?;
        Ok(request)
    }
}
