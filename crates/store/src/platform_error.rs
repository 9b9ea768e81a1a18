use super::*;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// The response was lost; a write may have taken effect.
    ResponseLost {
        /// The cause.
        message: String,
    },
    /// The response can't be parsed; a write may have taken effect.
    Malformed {
        /// The cause.
        message: String,
    },
    /// The call was not executed.
    NotExecuted {
        /// The cause.
        message: String,
    },
}

impl PlatformError {
    /// Returns whether a write may have taken effect despite the error.
    pub const fn may_have_taken_effect(&self) -> bool {
        !matches!(self, Self::NotExecuted { .. })
    }
}

impl Display for PlatformError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::ResponseLost { message } => {
                write!(f, "answer of the platform was lost: {message}")
            }
            Self::Malformed { message } => {
                write!(f, "answer of the platform cannot be read: {message}")
            }
            Self::NotExecuted { message } => {
                write!(f, "platform did not carry the call out: {message}")
            }
        }
    }
}

impl std::error::Error for PlatformError {}
