use super::*;

/// When a token can be expected.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExpectedWait {
    /// Priority of the request that waits for the token.
    pub priority: Option<u8>,
    /// Expected time until then.
    pub wait_ms: u32,
}

/// Answers a [`TokenRequest`] in one datagram. The issuing host answers immediately, and again when
/// more tokens are available.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenGrant {
    /// The `asked_us` of the request that is answered.
    pub asked_us: u64,
    /// Number of tokens that are granted.
    pub count: u32,
    /// The sender.
    pub host: HostId,
    /// Version of this protocol.
    pub protocol: u32,
    /// The upstream for which the tokens are valid.
    pub upstream: UpstreamId,
    /// When the next tokens can be expected, for each requested priority.
    pub waits: Vec<ExpectedWait>,
}

impl TokenGrant {
    /// Encodes the message as an authenticated datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        datagram::encode(datagram::Kind::TokenGrant, token, self)
    }

    /// Decodes a datagram. Fails unless the datagram has a valid authentication tag for this kind
    /// of message.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let grant: Self = datagram::decode(datagram::Kind::TokenGrant, token, datagram)?;
        MessageError::check_protocol(grant.protocol)?;
        MessageError::check_size("waits", grant.waits.len(), MAX_WANTED)?;
        Ok(grant)
    }
}
