use super::*;

/// Maximum number of subjects kept, as many as the requests of a host within a few minutes have.
const MAX_COMPLETIONS: usize = 2_048;

/// Subjects of requests that completed recently, with the time of completion.
///
/// A request that many callers send all day runs on every upstream that a harmful request crashes,
/// and the crashes alone don't distinguish the two. Even after the harmless request is cleared,
/// crashes that other hosts announce again or keep in the store would count against it anew.
/// Without this record, a harmless request would be barred for minutes after a series of crashes.
#[derive(Debug, Default)]
pub(crate) struct RecentCompletions {
    completed_at: HashMap<CrashSubject, Time>,
    /// The same subjects, the least recently added first.
    order: VecDeque<CrashSubject>,
}

impl RecentCompletions {
    pub(crate) fn note(&mut self, subject: CrashSubject, now: Time) {
        if let Some(last) = self.completed_at.get_mut(&subject) {
            *last = now.max(*last);
            return;
        }
        self.completed_at.insert(subject, now);
        self.order.push_back(subject);
        if self.order.len() > MAX_COMPLETIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.completed_at.remove(&oldest);
        }
    }

    /// Returns when a request with this subject last completed.
    pub(crate) fn last(&self, subject: &CrashSubject) -> Option<Time> {
        self.completed_at.get(subject).copied()
    }
}
