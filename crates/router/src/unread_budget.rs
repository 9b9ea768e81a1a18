use super::*;

/// Part of a host's budget from which callers that have something to read get no more; the
/// rest is kept for those that keep up.
const LAGGING_READER_SHARE: f64 = 0.75;

/// Time after which a caller that has taken nothing counts as slow: a lost packet has
/// come again by then.
pub(crate) const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A caller's connection, as a host numbers it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct ReaderId(u64);

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Delivery {
    /// An answer that its caller gets only when all of it is here.
    Whole,
    /// Part of a stream, which its caller can read at once.
    Streamed,
}

/// Whether bytes found room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Reservation {
    Granted,
    Wait,
    /// There is room once this caller's connection is closed.
    AfterClosing(ReaderId),
}

/// The bytes that one caller has not read.
#[derive(Clone, Copy, Debug)]
struct ReaderState {
    bytes: u64,
    /// Since when it could read and has taken nothing; `None` while there is nothing to read.
    idle_since: Option<Time>,
    is_close_requested: bool,
    /// Whether more is to come once some of it is read.
    waits_for_stream_limit: bool,
}

/// Counts the bytes of answers that callers have not read, and decides who gets more.
#[derive(Debug, Default)]
pub(crate) struct UnreadBudget {
    held_bytes: u64,
    next_id: u64,
    readers: HashMap<ReaderId, ReaderState>,
    /// Callers for which more is to come once any caller has read.
    waiting_for_budget: HashSet<ReaderId>,
    /// Who waits_for_stream_limit for the room that a slow caller makes, and for how many bytes.
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

    /// Time for which a caller has taken nothing of what it could read.
    pub(crate) fn idle_time(&self, id: ReaderId, now: Time) -> Duration {
        let reader = self.readers.get(&id);
        reader.map_or(Duration::ZERO, |reader| reader.idle_time(now))
    }

    /// Counts bytes for a caller if there is room for them.
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

    /// Notes that a caller can read what was collected for it.
    pub(crate) fn mark_readable(&mut self, now: Time, id: ReaderId) {
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.idle_since.get_or_insert(now);
        }
    }

    /// Gives bytes back that a caller has read or will never get; the callers that may find
    /// room now.
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

    /// The slowest caller's connection makes room, one at a time.
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
