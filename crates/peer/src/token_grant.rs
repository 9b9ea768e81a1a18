use super::*;

/// When a token can be expected.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExpectedWait {
    /// Priority of the request that waits for it.
    pub priority: Option<u8>,
    /// Time until then.
    pub wait_ms: u32,
}

/// Answers a [`TokenRequest`], in one datagram: once at once, and again when tokens are there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenGrant {
    /// The sending time of the question that it answers.
    pub asked_us: u64,
    /// Tokens that are given.
    pub count: u32,
    /// The sender.
    pub host: HostId,
    /// Version of this protocol.
    pub protocol: u32,
    /// The upstream for which they hold.
    pub upstream: UpstreamId,
    /// When the next ones can be expected, for each priority that was asked for.
    pub waits: Vec<ExpectedWait>,
}

impl TokenGrant {
    /// The message as a datagram.
    pub fn to_datagram(&self, token: &str) -> Vec<u8> {
        datagram::encode(datagram::Kind::TokenGrant, token, self)
    }

    /// Reads a datagram; one without the right mark is not a message of this kind.
    pub fn from_datagram(datagram: &[u8], token: &str) -> Result<Self, MessageError> {
        let grant: Self = datagram::decode(datagram::Kind::TokenGrant, token, datagram)?;
        MessageError::check_protocol(grant.protocol)?;
        MessageError::check_size("waits", grant.waits.len(), MAX_WANTED)?;
        Ok(grant)
    }
}
