use super::*;

/// Why another host's configuration could not be requested.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigurationError {
    /// The host has a newer configuration, and its transfer was cut short.
    CutShort(PlatformError),
    /// The answer lacks a header, or a header is no number.
    MissingHeader,
    /// The host did not answer.
    NoAnswer(String),
    /// The host answered with an unexpected status.
    Status(StatusCode),
}

impl From<PlatformError> for ConfigurationError {
    fn from(error: PlatformError) -> Self {
        Self::NoAnswer(error.to_string())
    }
}

impl Display for ConfigurationError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::CutShort(error) => Display::fmt(error, f),
            Self::MissingHeader => f.write_str("the host's answer lacks a header"),
            Self::NoAnswer(error) => f.write_str(error),
            Self::Status(status) => write!(f, "the host answered {status}"),
        }
    }
}

impl std::error::Error for ConfigurationError {}
