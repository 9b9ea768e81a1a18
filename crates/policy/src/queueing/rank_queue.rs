use super::*;

/// While there are requests that can still meet their target, one late request is served after this
/// many of them. With 8, late requests reduce the goodput of a class by a tenth at a load of twice
/// the capacity.
const LATE_SERVICE_INTERVAL: u32 = 32;

/// The queue of one rank. Requests that can no longer meet their target are served after those that
/// still can, but don't starve.
#[derive(Debug, Default)]
pub(crate) struct RankQueue {
    feasible: FairQueue,
    late: FairQueue,
    /// Requests served from `feasible` since the last one was served from `late`.
    served_since_late: u32,
}

impl RankQueue {
    pub(crate) const fn len(&self) -> usize {
        self.feasible.len() + self.late.len()
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Estimated cost of all queued requests, in tokens.
    pub(crate) const fn cost(&self) -> u64 {
        self.feasible.cost() + self.late.cost()
    }

    pub(crate) fn push(&mut self, item: QueuedItem) {
        self.feasible.push(item);
    }

    /// Returns the request to serve next. Requests that can no longer meet their target are moved
    /// to `late` first. `time_to_first_token` is the time from dispatch to the first token on an
    /// upstream that is free.
    pub(crate) fn peek(&mut self, now: Time, time_to_first_token: Duration) -> Option<QueuedItem> {
        while let Some(item) = self
            .feasible
            .peek()
            .filter(|item| now + time_to_first_token > item.due)
        {
            let item = item.clone();
            self.feasible.remove(&item);
            self.late.push(item);
        }
        let is_late_turn = self.served_since_late >= LATE_SERVICE_INTERVAL && !self.late.is_empty();
        if is_late_turn || self.feasible.is_empty() {
            return self.late.peek().cloned();
        }
        self.feasible.peek().cloned()
    }

    /// Returns the request to evict first when the queue is full.
    pub(crate) fn eviction_candidate(&self) -> Option<QueuedItem> {
        self.late.last().or_else(|| self.feasible.last()).cloned()
    }

    pub(crate) fn remove(&mut self, item: &QueuedItem) -> bool {
        self.feasible.remove(item) || self.late.remove(item)
    }

    pub(crate) fn serve(&mut self, item: &QueuedItem) {
        let len_before = self.feasible.len();
        self.feasible.serve(item);
        if self.feasible.len() < len_before {
            self.served_since_late += 1;
            return;
        }
        self.late.serve(item);
        self.served_since_late = 0;
    }
}
