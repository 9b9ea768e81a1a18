use super::*;

/// An attempt to open a path to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PathAttempt {
    /// How it ended.
    pub outcome: PathOutcome,
    /// The path.
    pub path: Path,
}

impl Display for PathAttempt {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.outcome)
    }
}
