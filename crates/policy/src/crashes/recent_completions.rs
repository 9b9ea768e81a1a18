use super::*;

/// Requests that are remembered: what a host serves in some minutes.
const MAX_COMPLETIONS: usize = 2_048;

/// Requests that ran to their end lately, and when.
///
/// What goes wrong without it: a request that many callers send all day is on each upstream
/// that a guilty one ends, and nothing tells the two apart; or it is cleared, and what other
/// hosts tell again, or keep in the store, is held against it anew. One would notice the
/// harmless one barred for minutes after a storm of crashes.
#[derive(Debug, Default)]
pub(crate) struct RecentCompletions {
    completed_at: HashMap<Fingerprint, Time>,
    /// The same, the oldest first.
    order: VecDeque<Fingerprint>,
}

impl RecentCompletions {
    pub(crate) fn note(&mut self, fingerprint: Fingerprint, now: Time) {
        if let Some(last) = self.completed_at.get_mut(&fingerprint) {
            *last = now.max(*last);
            return;
        }
        self.completed_at.insert(fingerprint, now);
        self.order.push_back(fingerprint);
        if self.order.len() > MAX_COMPLETIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.completed_at.remove(&oldest);
        }
    }

    /// When the like of a request ran to its end last.
    pub(crate) fn last(&self, fingerprint: &Fingerprint) -> Option<Time> {
        self.completed_at.get(fingerprint).copied()
    }
}
