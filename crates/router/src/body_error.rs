use super::*;

/// Why the body of a caller's request cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    Broken,
    NoMemory,
    TooLarge { max: ByteSize },
    TooSlow { timeout_ms: u64 },
}

impl BodyError {
    /// Machine-readable code for error responses.
    pub(crate) const fn code(&self) -> &'static str {
        match self {
            Self::Broken => "body_broken",
            Self::NoMemory => "no_memory",
            Self::TooLarge { .. } => "body_too_large",
            Self::TooSlow { .. } => "body_timeout",
        }
    }

    /// Status of the error response.
    pub(crate) const fn status(&self) -> StatusCode {
        match self {
            Self::Broken => StatusCode::BAD_REQUEST,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

impl Display for BodyError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Broken => write!(f, "the body broke off"),
            Self::NoMemory => write!(f, "the host holds as many bodies as it has memory for"),
            Self::TooLarge { max } => write!(f, "the body is larger than {max} bytes"),
            Self::TooSlow { timeout_ms } => {
                write!(f, "the body took longer than {timeout_ms} ms")
            }
        }
    }
}

impl std::error::Error for BodyError {}
