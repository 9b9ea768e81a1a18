use super::*;

/// Why the configuration could not be read or changed.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigStoreError {
    /// The patched configuration is not valid.
    Invalid {
        /// The validation error.
        error: ConfigError,
    },
    /// There is no configuration yet, or a row of it is missing.
    Missing,
    /// The call to the platform failed, or its rows can't be parsed.
    Platform {
        /// The cause.
        error: PlatformError,
    },
    /// The patch is based on a version that is not the newest one.
    Stale {
        /// The newest version.
        current: ConfigVersion,
    },
    /// The response was lost and the outcome could not be looked up. The patch may be in force;
    /// submitting it again with the same id is safe.
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
