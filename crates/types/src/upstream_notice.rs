use super::*;

/// What an upstream says of itself in the head of an answer, whatever became of the request.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamNotice {
    /// For how long it wants nothing from this host.
    pub backoff: AnsweredBackoff,
    /// Requests a second of all hosts together that it can reject; beyond that it falls over.
    pub brittle: AnsweredLimit,
    /// Whether it leaves. That is final for its incarnation.
    pub leaving: bool,
    /// Requests that it takes from all hosts together.
    pub limit: AnsweredLimit,
}

impl UpstreamNotice {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        let absent = |answered: &AnsweredLimit| *answered == AnsweredLimit::Absent;
        absent(&self.limit)
            && absent(&self.brittle)
            && !self.leaving
            && self.backoff == AnsweredBackoff::Absent
    }
}

impl Default for UpstreamNotice {
    fn default() -> Self {
        Self {
            backoff: AnsweredBackoff::Absent,
            brittle: AnsweredLimit::Absent,
            leaving: false,
            limit: AnsweredLimit::Absent,
        }
    }
}
