use super::*;

/// Answers that the callers of this host have not read, shared by all threads.
#[derive(Clone, Debug)]
pub(crate) struct UnreadAnswers {
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
    limits: Arc<ArcSwap<Limits>>,
}

#[derive(Debug, Default)]
struct Inner {
    budget: UnreadBudget,
    signals: HashMap<ReaderId, Arc<ReaderSignals>>,
}

impl UnreadAnswers {
    pub(crate) fn new(clock: Clock, limits: Arc<ArcSwap<Limits>>) -> Self {
        Self {
            clock,
            inner: Arc::default(),
            limits,
        }
    }

    /// Adds a reader for a new connection.
    pub(crate) fn add_reader(&self) -> Arc<AnswerReader> {
        let signals = Arc::new(ReaderSignals::default());
        let mut inner = self.lock();
        let id = inner.budget.add_reader();
        inner.signals.insert(id, Arc::clone(&signals));
        drop(inner);
        Arc::new(AnswerReader::new(self.clone(), id, signals))
    }

    pub(crate) fn remove_reader(&self, id: ReaderId) {
        let mut inner = self.lock();
        inner.budget.remove_reader(id);
        inner.signals.remove(&id);
    }

    pub(crate) fn held_bytes(&self) -> u64 {
        self.lock().budget.held_bytes()
    }

    /// Returns the number of bytes that a reader has not read, and how long it has read nothing.
    pub(crate) fn unread_and_idle(&self, id: ReaderId) -> (u64, Duration) {
        let now = self.clock.now();
        let budget = &self.lock().budget;
        (budget.unread_bytes(id), budget.idle_time(id, now))
    }

    /// Reserves bytes for a reader if there is enough budget. If a slow reader holds the budget,
    /// its connection is closed.
    pub(crate) fn try_reserve(&self, id: ReaderId, bytes: u64, delivery: Delivery) -> bool {
        let now = self.clock.now();
        let limits = self.limits.load();
        let mut inner = self.lock();
        let reservation = inner.budget.reserve(now, id, bytes, delivery, &limits);
        if let Reservation::AfterClosing(slowest) = reservation
            && let Some(signals) = inner.signals.get(&slowest)
        {
            signals.close.notify_one();
        }
        reservation == Reservation::Granted
    }

    pub(crate) fn mark_readable(&self, id: ReaderId) {
        let now = self.clock.now();
        self.lock().budget.mark_readable(now, id);
    }

    pub(crate) fn release(&self, id: ReaderId, bytes: u64) {
        let now = self.clock.now();
        let mut inner = self.lock();
        for id in inner.budget.release(now, id, bytes) {
            if let Some(signals) = inner.signals.get(&id) {
                signals.budget_freed.notify_one();
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
