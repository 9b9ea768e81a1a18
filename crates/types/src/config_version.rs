use super::*;

quantity!(
    /// Version number of the shared configuration; it only increases.
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
