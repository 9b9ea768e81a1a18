use super::*;

/// Why a caller's body cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    Broken,
    TooLarge { max: ByteSize },
    TooSlow { timeout_ms: u64 },
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Broken => write!(f, "the body broke off"),
            Self::TooLarge { max } => write!(f, "the body is larger than {max} bytes"),
            Self::TooSlow { timeout_ms } => {
                write!(f, "the body took longer than {timeout_ms} ms")
            }
        }
    }
}

impl std::error::Error for BodyError {}
