use super::*;

/// Size and duration of a transfer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReadStats {
    /// Size of the response body as received.
    pub bytes: ByteSize,
    /// Time from the response head to the last byte.
    pub duration: Duration,
}
