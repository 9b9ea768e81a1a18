use super::*;

/// What each source says about whether an upstream is leaving.
#[derive(Debug, Default)]
pub(crate) struct Departure {
    /// Whether this incarnation of the upstream said that it is leaving, which cannot be revoked;
    /// if so, whether this host knows that first-hand.
    stated: Option<bool>,
    /// Whether the list of this host's own protocol says so. A later list may revoke it.
    listed: bool,
    /// Whether the upstream's last load report says so.
    reported: bool,
    /// Until when the last heartbeat or heartbeat answer that says so is believed.
    advertised_until: Time,
}

impl Departure {
    pub(crate) const fn note_stated(&mut self, first_hand: bool) {
        self.stated = Some(first_hand);
    }

    pub(crate) const fn note_listed(&mut self, listed: bool) {
        self.listed = listed;
    }

    pub(crate) const fn note_reported(&mut self, reported: bool) {
        self.reported = reported;
    }

    pub(crate) const fn note_advertised(&mut self, until: Time) {
        self.advertised_until = until;
    }

    /// Whether this host knows first-hand that the upstream is leaving. Only this is announced to
    /// other hosts: if hosts passed on what they learned from each other, the announcement would
    /// circulate forever.
    pub(crate) const fn is_first_hand(&self) -> bool {
        self.listed || self.reported || matches!(self.stated, Some(true))
    }

    /// Whether any source says that the upstream is leaving; one source is enough.
    pub(crate) fn is_known(&self, now: Time) -> bool {
        self.is_first_hand() || self.stated.is_some() || now < self.advertised_until
    }
}
