use super::*;

/// Time after which hosts that have not answered are asked again. A round trip between hosts takes
/// a few milliseconds, so a later answer was lost or comes from a host that is down.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);

/// Number of times that a host is asked.
const MAX_ASKED: u32 = 2;

/// A question to other hosts for the software version of a stream.
#[derive(Debug)]
pub(crate) struct VersionLookup {
    /// Requests that wait for the version, and when they arrived.
    pub(crate) arrivals: Vec<(Time, Arrival)>,
    /// Number of hosts that answered.
    pub(crate) answered: usize,
    /// Number of hosts that were asked.
    pub(crate) asked: usize,
    asked_count: u32,
    /// The version of the latest attempt that a host reported.
    pub(crate) found: Option<StreamVersion>,
    next_step: Time,
    unanswered: Vec<SocketAddr>,
}

impl VersionLookup {
    pub(crate) fn new(asked: Vec<SocketAddr>, now: Time) -> Self {
        Self {
            arrivals: Vec::new(),
            answered: 0,
            asked: asked.len(),
            asked_count: 1,
            found: None,
            next_step: now + ASK_TIMEOUT,
            unanswered: asked,
        }
    }

    /// Records an answer. The latest attempt counts: an earlier one may have been sent to another
    /// version before the stream began.
    pub(crate) fn note_answer(&mut self, from: SocketAddr, found: Option<StreamVersion>) {
        let before = self.unanswered.len();
        self.unanswered.retain(|address| *address != from);
        if self.unanswered.len() == before {
            return;
        }
        self.answered += 1;
        let latest = self.found.as_ref().map(|found| found.attempt);
        if found.as_ref().map(|found| found.attempt) > latest {
            self.found = found;
        }
    }

    /// Whether any host answered.
    pub(crate) const fn has_answer(&self) -> bool {
        self.answered > 0
    }

    /// Whether no further answer is expected or waited for.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        let is_late = now >= self.next_step;
        self.unanswered.is_empty()
            || (is_late && (self.found.is_some() || self.asked_count >= MAX_ASKED))
    }

    /// The hosts to ask again now.
    pub(crate) fn take_repeated(&mut self, now: Time) -> &[SocketAddr] {
        if now < self.next_step {
            return &[];
        }
        self.asked_count += 1;
        self.next_step = now + ASK_TIMEOUT;
        &self.unanswered
    }
}
