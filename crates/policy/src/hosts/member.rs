use super::*;

/// What a host knows of another one.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Calls in a row that got no answer.
    pub(crate) failures: u32,
    pub(crate) listing: PeerHost,
    pub(crate) phase: PeerPhase,
    /// Until when it is taken for gone.
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

    /// Whether it can be asked for shares now.
    pub(crate) fn can_coordinate(&self, now: Time) -> bool {
        let suspect = self.suspect_until.is_some_and(|until| now < until);
        !suspect && self.is_sharing()
    }

    /// Whether it has a part in the upstreams' slots.
    pub(crate) fn is_sharing(&self) -> bool {
        !self.listing.leaving && self.phase != PeerPhase::Draining
    }
}
