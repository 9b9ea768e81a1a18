use super::*;

/// Share of the host's budget above which readers that have unread bytes get no more. The rest is
/// reserved for readers that keep up.
const LAGGING_READER_SHARE: f64 = 0.75;

/// Idle time after which a reader counts as slow. A lost packet has been sent again by then.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of a caller's connection on this host.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct ReaderId(u64);

/// How an answer is delivered to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Delivery {
    /// The caller gets the answer once it is complete.
    Whole,
    /// The caller can read each part at once.
    Streamed,
}

/// Result of a request for budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reservation {
    Granted,
    Wait,
    /// The budget is available once the connection of this reader is closed.
    AfterClosing(ReaderId),
}

/// The unread bytes of one reader.
#[derive(Clone, Copy, Debug)]
struct ReaderState {
    bytes: u64,
    /// Since when the reader has had bytes to read but has read none; `None` if it has nothing to
    /// read.
    idle_since: Option<Time>,
    is_close_requested: bool,
    /// Whether the reader's next part waits until the reader has read some of its bytes.
    waits_for_stream_limit: bool,
}

/// Counts the bytes of answers that callers have not read, and decides who may get more.
#[derive(Debug, Default)]
pub(crate) struct UnreadBudget {
    held_bytes: u64,
    next_id: u64,
    readers: HashMap<ReaderId, ReaderState>,
    /// Readers whose next part waits until any reader releases bytes.
    waiting_for_budget: HashSet<ReaderId>,
    /// The reader that waits for another one to be closed, and how many bytes it needs. Readers
    /// that have unread bytes cannot take this share of the budget.
    pending_reservation: Option<(ReaderId, u64)>,
}

impl UnreadBudget {
    pub(crate) fn add_reader(&mut self) -> ReaderId {
        let id = ReaderId(self.next_id);
        self.next_id += 1;
        let reader = ReaderState {
            bytes: 0,
            idle_since: None,
            is_close_requested: false,
            waits_for_stream_limit: false,
        };
        self.readers.insert(id, reader);
        id
    }

    pub(crate) fn remove_reader(&mut self, id: ReaderId) {
        self.waiting_for_budget.remove(&id);
        self.pending_reservation
            .take_if(|(requester, _)| *requester == id);
        if let Some(reader) = self.readers.remove(&id) {
            self.held_bytes -= reader.bytes;
        }
    }

    pub(crate) const fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    pub(crate) fn unread_bytes(&self, id: ReaderId) -> u64 {
        self.readers.get(&id).map_or(0, |reader| reader.bytes)
    }

    /// Returns how long a reader has had bytes to read but has read none.
    pub(crate) fn idle_time(&self, id: ReaderId, now: Time) -> Duration {
        let reader = self.readers.get(&id);
        reader.map_or(Duration::ZERO, |reader| reader.idle_time(now))
    }

    /// Reserves bytes for a reader if there is enough budget.
    pub(crate) fn reserve(
        &mut self,
        now: Time,
        id: ReaderId,
        bytes: u64,
        delivery: Delivery,
        limits: &Limits,
    ) -> Reservation {
        let held_after = self.held_bytes + bytes;
        let max = limits.max_unread_bytes.get();
        let is_full = self.held_bytes > 0 && held_after > max;
        let pending = self
            .pending_reservation
            .filter(|(requester, _)| *requester != id);
        let reserved = pending.map_or(0, |(_, bytes)| bytes);
        let is_scarce = (held_after + reserved) as f64 > max as f64 * LAGGING_READER_SHARE;
        let Some(reader) = self.readers.get_mut(&id) else {
            return Reservation::Wait;
        };
        let is_lagging = delivery == Delivery::Streamed && reader.bytes > 0;
        let exceeds_stream_limit = reader.bytes + bytes > limits.max_unread_stream_bytes.get();
        reader.waits_for_stream_limit = is_lagging && exceeds_stream_limit;
        if reader.waits_for_stream_limit {
            return Reservation::Wait;
        }
        if is_full || is_lagging && is_scarce {
            self.waiting_for_budget.insert(id);
            return if is_lagging {
                Reservation::Wait
            } else {
                self.pending_reservation.get_or_insert((id, bytes));
                self.choose_reader_to_close(now, id)
            };
        }
        reader.bytes += bytes;
        if delivery == Delivery::Streamed {
            reader.idle_since.get_or_insert(now);
        }
        self.held_bytes = held_after;
        self.pending_reservation
            .take_if(|(requester, _)| *requester == id);
        Reservation::Granted
    }

    /// Marks the collected bytes of a reader as readable, so that its idle time starts to count.
    pub(crate) fn mark_readable(&mut self, now: Time, id: ReaderId) {
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.idle_since.get_or_insert(now);
        }
    }

    /// Releases bytes that a reader has read or will never get. Returns the readers that should try
    /// again to reserve budget.
    pub(crate) fn release(&mut self, now: Time, id: ReaderId, bytes: u64) -> Vec<ReaderId> {
        let mut to_wake: Vec<ReaderId> = self.waiting_for_budget.drain().collect();
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.bytes -= bytes;
            self.held_bytes -= bytes;
            if reader.idle_since.is_some() {
                reader.idle_since = (reader.bytes > 0).then_some(now);
            }
            if std::mem::take(&mut reader.waits_for_stream_limit) {
                to_wake.push(id);
            }
        }
        to_wake
    }

    /// Chooses the reader that has been idle longest to be closed. Only one reader is closed at a
    /// time: none is chosen until the bytes of the last one are released.
    fn choose_reader_to_close(&mut self, now: Time, requester: ReaderId) -> Reservation {
        if self
            .readers
            .values()
            .any(|reader| reader.is_close_requested && reader.bytes > 0)
        {
            return Reservation::Wait;
        }
        let slow = self.readers.iter_mut().filter(|(id, reader)| {
            **id != requester && reader.bytes > 0 && reader.idle_time(now) >= STALL_TIMEOUT
        });
        let slowest = slow.max_by_key(|(id, reader)| (reader.idle_time(now), reader.bytes, **id));
        match slowest {
            Some((id, reader)) => {
                reader.is_close_requested = true;
                Reservation::AfterClosing(*id)
            }
            None => Reservation::Wait,
        }
    }
}

impl ReaderState {
    fn idle_time(&self, now: Time) -> Duration {
        self.idle_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }
}

#[cfg(test)]
#[path = "../tests/unit/unread_budget.rs"]
mod tests;
