use super::*;

/// Whether a request may have run on an upstream. Every answer to a caller
/// carries one, and every retry rests on it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It did not run: no byte can have reached an upstream, or the upstream
    /// itself said so.
    NotRun,
    /// It may have run: bytes left for an upstream and no whole answer came.
    MayHaveRun,
    /// It ran, and the whole answer came.
    Ran,
}

impl Verdict {
    /// The verdict on a request from the verdicts on two of its attempts.
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }

    /// The verdict as it stands in headers and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }
}

impl Display for Verdict {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = ParseValueError;

    fn from_str(text: &str) -> Result<Self, ParseValueError> {
        [Self::NotRun, Self::MayHaveRun, Self::Ran]
            .into_iter()
            .find(|verdict| verdict.as_str() == text)
            .ok_or_else(|| ParseValueError::new("verdict", text))
    }
}
