use super::*;

/// An attempt to connect to an upstream over one path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PathAttempt {
    /// How the attempt ended.
    pub outcome: PathOutcome,
    /// The path that was tried.
    pub path: Path,
}

impl Display for PathAttempt {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.outcome)
    }
}
