use super::*;

/// How large an answer was and how long it took.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReadStats {
    /// Bytes of its body, as they came.
    pub bytes: ByteSize,
    /// From its head to the last byte.
    pub duration: Duration,
}
