use super::*;

/// A final response to the caller that does not come from an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Time after which the caller may retry; `None` if no retry is advised.
    pub retry_after: Option<Duration>,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

impl Refusal {
    /// Refuses a request that did not run, without advice to retry.
    pub const fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
            verdict: Verdict::NotRun,
        }
    }
}
