use super::*;

/// Maximum size of one part that is accounted for. Bytes are released part by part, which tells a
/// caller that reads a large answer slowly from a caller that reads nothing.
const MAX_PART_BYTES: usize = 16 * 1024;

/// The caller of one connection in its role as the reader of answers.
#[derive(Debug)]
pub(crate) struct AnswerReader {
    unread_answers: UnreadAnswers,
    id: ReaderId,
    signals: Arc<ReaderSignals>,
}

impl AnswerReader {
    pub(crate) const fn new(
        unread_answers: UnreadAnswers,
        id: ReaderId,
        signals: Arc<ReaderSignals>,
    ) -> Self {
        Self {
            unread_answers,
            id,
            signals,
        }
    }

    /// Splits a part of at most `MAX_PART_BYTES` off the start of `bytes`.
    pub(crate) fn split_part(bytes: &mut Bytes) -> Bytes {
        bytes.split_to(bytes.len().min(MAX_PART_BYTES))
    }

    /// Reserves budget for a part of a stream, waiting until there is enough. Returns `None` if the
    /// caller reads nothing for `slow_reader_timeout`.
    pub(crate) async fn reserve_streamed(
        self: &Arc<Self>,
        bytes: Bytes,
        slow_reader_timeout: Duration,
    ) -> Option<UnreadPart> {
        if self.try_reserve(&bytes, Delivery::Streamed) {
            return Some(self.unread_part(bytes));
        }
        count_slow_reader("held");
        while self.unread_and_idle().1 < slow_reader_timeout {
            self.wait_for_budget().await;
            if self.try_reserve(&bytes, Delivery::Streamed) {
                return Some(self.unread_part(bytes));
            }
        }
        None
    }

    /// Reserves budget for a part of an answer that is sent only once it is complete, waiting until
    /// there is enough.
    pub(crate) async fn reserve_whole(self: &Arc<Self>, bytes: Bytes) -> UnreadPart {
        while !self.try_reserve(&bytes, Delivery::Whole) {
            self.wait_for_budget().await;
        }
        self.unread_part(bytes)
    }

    /// Marks the collected answer as readable, so that the caller's idle time starts to count.
    pub(crate) fn mark_readable(&self) {
        self.unread_answers.mark_readable(self.id);
    }

    pub(crate) fn release(&self, bytes: u64) {
        self.unread_answers.release(self.id, bytes);
    }

    /// Waits until the connection must be closed to free budget for other callers.
    pub(crate) async fn close_requested(&self) {
        self.signals.close.notified().await;
        count_slow_reader("cut");
    }

    /// Returns the number of bytes that the caller has not read, and how long the caller has read
    /// nothing.
    pub(crate) fn unread_and_idle(&self) -> (u64, Duration) {
        self.unread_answers.unread_and_idle(self.id)
    }

    fn try_reserve(&self, bytes: &Bytes, delivery: Delivery) -> bool {
        self.unread_answers
            .try_reserve(self.id, bytes.len() as u64, delivery)
    }

    fn unread_part(self: &Arc<Self>, bytes: Bytes) -> UnreadPart {
        UnreadPart::new(bytes, Arc::clone(self))
    }

    /// Waits for a signal, but at most `STALL_TIMEOUT`: another reader that becomes slow sends no
    /// signal.
    async fn wait_for_budget(&self) {
        let _ = timeout(STALL_TIMEOUT, self.signals.budget_freed.notified()).await;
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.unread_answers.remove_reader(self.id);
    }
}

/// Counts an action that is taken because a caller reads slowly.
pub(crate) fn count_slow_reader(what: &'static str) {
    counter!("rhubarbcove_slow_readers_total", "what" => what).increment(1);
}
