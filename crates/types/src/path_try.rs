use super::*;

/// An attempt to open a path to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PathTry {
    /// How it ended.
    pub end: PathEnd,
    /// The path.
    pub path: Path,
}

impl Display for PathTry {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.end)
    }
}
