use super::*;

/// What an upstream states about itself in the head of a response, whatever the outcome of the
/// request.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamNotice {
    /// For how long the upstream wants no requests from this host.
    pub backoff: AdvertisedBackoff,
    /// How many requests per second, from all hosts together, the upstream can reject. It fails if
    /// it has to reject more.
    pub rejection_limit: AdvertisedLimit,
    /// Whether the upstream is shutting down. An incarnation never revokes this.
    pub leaving: bool,
    /// How many requests per second the upstream accepts from all hosts together.
    pub limit: AdvertisedLimit,
}

impl UpstreamNotice {
    /// Whether the upstream states nothing about itself.
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
