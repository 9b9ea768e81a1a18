use super::*;

/// What a host knows about another host of its failure domain.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Consecutive calls without an answer.
    pub(crate) failures: u32,
    /// The host's entry in the platform's host list.
    pub(crate) listing: PeerHost,
    pub(crate) phase: PeerPhase,
    /// Until when the host is assumed to be down.
    pub(crate) suspect_until: Option<Time>,
}

impl Member {
    pub(crate) const fn new(listing: PeerHost) -> Self {
        Self {
            failures: 0,
            listing,
            phase: PeerPhase::Serving,
            suspect_until: None,
        }
    }

    /// Whether this host can be asked for shares now.
    pub(crate) fn can_coordinate(&self, now: Time) -> bool {
        let suspect = self.suspect_until.is_some_and(|until| now < until);
        !suspect && self.is_sharing()
    }

    /// Whether the host takes a share of the upstreams' slots.
    pub(crate) fn is_sharing(&self) -> bool {
        !self.listing.leaving && self.phase != PeerPhase::Draining
    }
}
