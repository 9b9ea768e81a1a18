use super::*;

/// Why a call brought no complete response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallFailure {
    /// Cause of the failure.
    pub cause: FailureCause,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

impl CallFailure {
    /// Failure of a request that did not run, for example because no byte can have been sent.
    pub const fn not_run(cause: FailureCause) -> Self {
        Self {
            cause,
            verdict: Verdict::NotRun,
        }
    }

    /// Failure of a request after bytes of it may have been sent.
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
