use super::*;

/// What an upstream says of itself in the head of an answer, whatever became of the request.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamNotice {
    /// For how long it wants nothing from this host.
    pub backoff: AdvertisedBackoff,
    /// Requests a second of all hosts together that it can reject; beyond that it falls over.
    pub rejection_limit: AdvertisedLimit,
    /// Whether it leaves. That is final for its incarnation.
    pub leaving: bool,
    /// Requests that it takes from all hosts together.
    pub limit: AdvertisedLimit,
}

impl UpstreamNotice {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        let absent = |limit: &AdvertisedLimit| *limit == AdvertisedLimit::Absent;
        absent(&self.limit)
            && absent(&self.rejection_limit)
            && !self.leaving
            && self.backoff == AdvertisedBackoff::Absent
    }
}

impl Default for UpstreamNotice {
    fn default() -> Self {
        Self {
            backoff: AdvertisedBackoff::Absent,
            rejection_limit: AdvertisedLimit::Absent,
            leaving: false,
            limit: AdvertisedLimit::Absent,
        }
    }
}
