use super::*;

/// A final answer without an upstream's answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When a retry makes sense.
    pub retry_after: Option<Duration>,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

impl Refusal {
    /// A refusal of a request that did not run, with no advice to retry.
    pub const fn not_run(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
            verdict: Verdict::NotRun,
        }
    }
}
