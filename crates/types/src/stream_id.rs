use super::*;

/// Identifies a stream across all hosts and all attempts of its caller: a hash of the id of the
/// caller's attempt that brought the first event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct StreamId(u64);

impl StreamId {
    /// The stream that begins with an attempt of the caller.
    pub fn of_attempt(attempt: &str) -> Self {
        let digest: [u8; 32] = Sha256::digest(attempt.as_bytes()).into();
        let first = digest[..8].iter();
        Self(first.fold(0, |id, byte| id << 8 | u64::from(*byte)))
    }

    /// The hash.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl Display for StreamId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
