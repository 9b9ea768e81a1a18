use super::*;

/// Requests that are remembered: what a host serves in some minutes.
const MAX_FINISHED: usize = 2_048;

/// Requests that ran to their end lately.
///
/// What goes wrong without it: a request that many callers send all day is on each upstream
/// that a guilty one ends, and nothing tells the two apart. One would notice the harmless
/// one barred for minutes after a storm of crashes.
#[derive(Debug, Default)]
pub(crate) struct Finished {
    known: HashSet<Fingerprint>,
    /// The same, the oldest first.
    order: VecDeque<Fingerprint>,
}

impl Finished {
    pub(crate) fn note(&mut self, fingerprint: Fingerprint) {
        if !self.known.insert(fingerprint) {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > MAX_FINISHED
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
    }

    pub(crate) fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.known.contains(fingerprint)
    }
}
