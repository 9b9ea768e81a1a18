use super::*;

/// Maximum number of requests kept, which a host serves within a few minutes.
const MAX_COMPLETIONS: usize = 2_048;

/// Requests that completed recently, with the time of completion.
///
/// A request that many callers send all day runs on every upstream that a harmful request crashes,
/// and the crashes alone don't distinguish the two. Even after the harmless request is cleared,
/// crashes that other hosts announce again or keep in the store would count against it anew.
/// Without this record, a harmless request would be barred for minutes after a series of crashes.
#[derive(Debug, Default)]
pub(crate) struct RecentCompletions {
    completed_at: HashMap<Fingerprint, Time>,
    /// The same requests, the least recently added first.
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

    /// Returns when an identical request last completed.
    pub(crate) fn last(&self, fingerprint: &Fingerprint) -> Option<Time> {
        self.completed_at.get(fingerprint).copied()
    }
}
