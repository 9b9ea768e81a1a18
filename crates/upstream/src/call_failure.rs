use super::*;

/// Why a call gave no whole answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallFailure {
    /// What went wrong.
    pub cause: FailureCause,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

impl CallFailure {
    /// A failure before any byte can have left.
    pub const fn not_run(cause: FailureCause) -> Self {
        Self {
            cause,
            verdict: Verdict::NotRun,
        }
    }

    /// A failure after bytes may have left.
    pub const fn may_have_run(cause: FailureCause) -> Self {
        Self {
            cause,
            verdict: Verdict::MayHaveRun,
        }
    }
}

impl Display for CallFailure {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "call failed: {}, {}", self.cause, self.verdict)
    }
}

impl std::error::Error for CallFailure {}
