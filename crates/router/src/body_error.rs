use super::*;

/// Why a caller's body cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    Broken,
    TooLarge { max: ByteSize },
    TooSlow { timeout_ms: u64 },
}

impl BodyError {
    /// Machine-readable code, as it stands in error answers.
    pub(crate) const fn code(&self) -> &'static str {
        match self {
            Self::Broken => "body_broken",
            Self::TooLarge { .. } => "body_too_large",
            Self::TooSlow { .. } => "body_timeout",
        }
    }

    /// Status of the answer that tells it.
    pub(crate) const fn status(&self) -> StatusCode {
        match self {
            Self::Broken => StatusCode::BAD_REQUEST,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// Reads a caller's body whole: a request is sent again only if all of it is
/// here.
pub(crate) async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, BodyError> {
    let max = limits.max_body_bytes;
    let timeout_ms = limits.body_timeout_ms;
    let limited = Limited::new(body, max.get() as usize);
    match timeout(Duration::from_millis(timeout_ms), limited.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge { max })
        }
        Ok(Err(_)) => Err(BodyError::Broken),
        Err(_) => Err(BodyError::TooSlow { timeout_ms }),
    }
}

impl Display for BodyError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
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
