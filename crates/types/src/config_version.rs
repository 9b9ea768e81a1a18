use super::*;

quantity!(
    /// Number of a version of the shared configuration; it only rises.
    ConfigVersion,
    u64,
    "configuration version"
);

impl ConfigVersion {
    /// The version that follows this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
