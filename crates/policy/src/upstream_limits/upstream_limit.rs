use super::*;

/// The limit that an upstream names.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimit {
    /// When the request was sent whose answer named it.
    as_of: Time,
    rate: Option<Rate>,
}

impl UpstreamLimit {
    pub(crate) const fn rate(&self) -> Option<Rate> {
        self.rate
    }

    /// Takes what an answer named, unless one to a later request is known: answers overtake
    /// each other. Returns whether it is a change.
    pub(crate) fn note(&mut self, rate: Option<Rate>, sent: Time) -> bool {
        if sent < self.as_of {
            return false;
        }
        self.as_of = sent;
        std::mem::replace(&mut self.rate, rate) != rate
    }
}
