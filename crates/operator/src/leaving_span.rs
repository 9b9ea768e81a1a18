use super::*;

/// When an upstream was asked to leave and when that request was revoked, in
/// milliseconds since the run log was created.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingSpan {
    /// When the upstream was asked to leave.
    pub from_ms: u64,
    /// When the upstream was listed as live again; `None` if it was not listed as live again.
    pub until_ms: Option<u64>,
}

impl LeavingSpan {
    /// Whether the upstream is leaving at `at_ms` and was asked to leave more than
    /// `grace_ms` before.
    pub fn is_leaving_at(self, at_ms: u64, grace_ms: u64) -> bool {
        let ended = self.until_ms.is_some_and(|until_ms| at_ms >= until_ms);
        !ended && at_ms > self.from_ms + grace_ms
    }
}
