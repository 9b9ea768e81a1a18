use super::*;

/// What is known of an upstream's leaving.
#[derive(Debug, Default)]
pub(crate) struct Departure {
    /// Said by this incarnation, so that nothing takes it back; whether first-hand.
    stated: Option<bool>,
    /// By the list of the own protocol, where a later list may take it back.
    listed: bool,
    /// By its last load report.
    reported: bool,
    /// Until when another host's heartbeat is believed.
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

    /// Whether this host has it first-hand: what is announced to the others. Their own word is not
    /// passed on, or it would go round for ever.
    pub(crate) const fn is_first_hand(&self) -> bool {
        self.listed || self.reported || matches!(self.stated, Some(true))
    }

    /// Whether any source says so; one is enough.
    pub(crate) fn is_known(&self, now: Time) -> bool {
        self.is_first_hand() || self.stated.is_some() || now < self.advertised_until
    }
}
