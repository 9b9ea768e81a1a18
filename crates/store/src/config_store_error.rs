use super::*;

/// Why the configuration could not be read or changed.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigStoreError {
    /// The result is not a valid configuration.
    Invalid {
        /// What is wrong with it.
        error: ConfigError,
    },
    /// There is no configuration yet.
    Missing,
    /// The platform did not answer, or its rows make no sense.
    Platform {
        /// What happened.
        error: PlatformError,
    },
    /// The patch was made against another version than the newest.
    Stale {
        /// The newest version.
        current: ConfigVersion,
    },
    /// The answer was lost and could not be looked up: the patch may be in
    /// force. Submitting it again with the same id is safe.
    OutcomeUnknown {
        /// Id of the patch.
        patch: String,
    },
}

impl Display for ConfigStoreError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid { error } => write!(f, "configuration is not valid: {error}"),
            Self::Missing => write!(f, "there is no configuration yet"),
            Self::Platform { error } => write!(f, "{error}"),
            Self::Stale { current } => {
                write!(f, "patch is stale, the current version is {current}")
            }
            Self::OutcomeUnknown { patch } => write!(
                f,
                "patch {patch} may have been accepted, submit it again with the same id"
            ),
        }
    }
}

impl std::error::Error for ConfigStoreError {}

impl From<ConfigError> for ConfigStoreError {
    fn from(error: ConfigError) -> Self {
        Self::Invalid { error }
    }
}

impl From<PlatformError> for ConfigStoreError {
    fn from(error: PlatformError) -> Self {
        Self::Platform { error }
    }
}
