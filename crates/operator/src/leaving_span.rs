use super::*;

/// When an upstream was asked to leave, and when it was asked to stay after all,
/// by the run log's clock.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeavingSpan {
    /// When it was asked to leave.
    pub from_ms: u64,
    /// When it was asked to stay.
    pub until_ms: Option<u64>,
}

impl LeavingSpan {
    /// Whether it was leaving at a moment, and had been for `longer_ms`.
    pub fn is_leaving_at(self, at_ms: u64, grace_ms: u64) -> bool {
        let ended = self.until_ms.is_some_and(|until_ms| at_ms >= until_ms);
        !ended && at_ms > self.from_ms + grace_ms
    }
}
