use super::*;

/// Largest part in which bytes are counted: a caller that reads on is seen to do so from one
/// part to the next.
const MAX_PART_BYTES: usize = 16 * 1024;

/// The caller at the end of one connection, as the reader of its unread_answers.
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

    /// Takes a part from the start of `bytes`.
    pub(crate) fn split_part(bytes: &mut Bytes) -> Bytes {
        bytes.split_to(bytes.len().min(MAX_PART_BYTES))
    }

    /// Counts a part of a stream once there is room for it; `None` if the caller takes
    /// nothing for `slow_reader`.
    pub(crate) async fn reserve_streamed(
        self: &Arc<Self>,
        bytes: Bytes,
        slow_reader: Duration,
    ) -> Option<UnreadPart> {
        if self.try_reserve(&bytes, Delivery::Streamed) {
            return Some(self.unread_part(bytes));
        }
        count_slow_reader("held");
        while self.unread_and_idle().1 < slow_reader {
            self.wait_for_room().await;
            if self.try_reserve(&bytes, Delivery::Streamed) {
                return Some(self.unread_part(bytes));
            }
        }
        None
    }

    /// Counts a part of an answer that is passed on as a whole, once there is room for it.
    pub(crate) async fn reserve_whole(self: &Arc<Self>, bytes: Bytes) -> UnreadPart {
        while !self.try_reserve(&bytes, Delivery::Whole) {
            self.wait_for_room().await;
        }
        self.unread_part(bytes)
    }

    /// Notes that the caller can read what was collected.
    pub(crate) fn mark_readable(&self) {
        self.unread_answers.mark_readable(self.id);
    }

    pub(crate) fn release(&self, bytes: u64) {
        self.unread_answers.release(self.id, bytes);
    }

    /// Returns once the connection is to be closed, for others to have room.
    pub(crate) async fn close_requested(&self) {
        self.signals.close.notified().await;
        count_slow_reader("cut");
    }

    /// Bytes that the caller has not read, and how long it has taken nothing.
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

    /// Looks again after a while by itself: others become slow by doing nothing.
    async fn wait_for_room(&self) {
        let _ = timeout(STALL_TIMEOUT, self.signals.room.notified()).await;
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        self.unread_answers.remove_reader(self.id);
    }
}

/// Counts what is done about callers that read slowly.
pub(crate) fn count_slow_reader(what: &'static str) {
    counter!("rhubarbcove_slow_readers_total", "what" => what).increment(1);
}
