use super::*;

/// Whether a request may have run on an upstream. Every response to a caller carries a verdict, and
/// every decision to retry is based on it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run: no byte can have reached an upstream, or the upstream itself
    /// stated that the request did not run.
    NotRun,
    /// The request may have run: bytes were sent to an upstream, and no complete response came.
    MayHaveRun,
    /// The request ran, and the complete response came.
    Ran,
}

impl Verdict {
    /// Combines the verdicts on two attempts into the verdict on the request.
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }

    /// The verdict as it is written in headers and reports.
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
