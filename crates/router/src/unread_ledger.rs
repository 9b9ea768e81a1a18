use super::*;

/// Part of a host's budget from which callers that have something to read get no more; the
/// rest is kept for those that keep up.
const BEHIND_SHARE: f64 = 0.75;

/// Time after which a caller that has taken nothing counts as slow: a lost packet has
/// come again by then.
pub(crate) const STALL: Duration = Duration::from_millis(500);

/// A caller's connection, as a host numbers it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct ReaderId(u64);

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Holding {
    /// An answer that its caller gets only when all of it is here.
    Collected,
    /// Part of a stream, which its caller can read at once.
    Offered,
}

/// Whether bytes found room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Room {
    Granted,
    Later,
    /// There is room once this caller's connection is closed.
    Without(ReaderId),
}

/// The bytes that one caller has not read.
#[derive(Clone, Copy, Debug)]
struct Unread {
    bytes: u64,
    /// Since when it could read and has taken nothing; `None` while there is nothing to read.
    idle_since: Option<Time>,
    is_cut: bool,
    /// Whether more is to come once some of it is read.
    waits: bool,
}

/// Counts the bytes of answers that callers have not read, and decides who gets more.
#[derive(Debug, Default)]
pub(crate) struct UnreadLedger {
    held_bytes: u64,
    next: u64,
    readers: HashMap<ReaderId, Unread>,
    /// Callers for which more is to come once any caller has read.
    short: HashSet<ReaderId>,
    /// Who waits for the room that a slow caller makes, and for how many bytes.
    wanted: Option<(ReaderId, u64)>,
}

impl UnreadLedger {
    pub(crate) fn open(&mut self) -> ReaderId {
        let id = ReaderId(self.next);
        self.next += 1;
        let unread = Unread {
            bytes: 0,
            idle_since: None,
            is_cut: false,
            waits: false,
        };
        self.readers.insert(id, unread);
        id
    }

    pub(crate) fn close(&mut self, id: ReaderId) {
        self.short.remove(&id);
        self.wanted.take_if(|(by, _)| *by == id);
        if let Some(unread) = self.readers.remove(&id) {
            self.held_bytes -= unread.bytes;
        }
    }

    pub(crate) const fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    pub(crate) fn unread_bytes(&self, id: ReaderId) -> u64 {
        self.readers.get(&id).map_or(0, |unread| unread.bytes)
    }

    /// Time for which a caller has taken nothing of what it could read.
    pub(crate) fn idle_for(&self, id: ReaderId, now: Time) -> Duration {
        let unread = self.readers.get(&id);
        unread.map_or(Duration::ZERO, |unread| unread.idle_for(now))
    }

    /// Counts bytes for a caller if there is room for them.
    pub(crate) fn take(
        &mut self,
        now: Time,
        id: ReaderId,
        bytes: u64,
        holding: Holding,
        limits: &Limits,
    ) -> Room {
        let held_after = self.held_bytes + bytes;
        let max = limits.max_unread_bytes.get();
        let is_full = self.held_bytes > 0 && held_after > max;
        let wanted = self.wanted.filter(|(by, _)| *by != id);
        let reserved = wanted.map_or(0, |(_, bytes)| bytes);
        let is_short = (held_after + reserved) as f64 > max as f64 * BEHIND_SHARE;
        let Some(unread) = self.readers.get_mut(&id) else {
            return Room::Later;
        };
        let is_behind = holding == Holding::Offered && unread.bytes > 0;
        let has_enough = unread.bytes + bytes > limits.max_unread_stream_bytes.get();
        unread.waits = is_behind && has_enough;
        if unread.waits {
            return Room::Later;
        }
        if is_full || is_behind && is_short {
            self.short.insert(id);
            return if is_behind {
                Room::Later
            } else {
                self.wanted.get_or_insert((id, bytes));
                self.make_room(now, id)
            };
        }
        unread.bytes += bytes;
        if holding == Holding::Offered {
            unread.idle_since.get_or_insert(now);
        }
        self.held_bytes = held_after;
        self.wanted.take_if(|(by, _)| *by == id);
        Room::Granted
    }

    /// Notes that a caller can read what was collected for it.
    pub(crate) fn offer(&mut self, now: Time, id: ReaderId) {
        if let Some(unread) = self.readers.get_mut(&id) {
            unread.idle_since.get_or_insert(now);
        }
    }

    /// Gives bytes back that a caller has read or will never get; the callers that may find
    /// room now.
    pub(crate) fn give_back(&mut self, now: Time, id: ReaderId, bytes: u64) -> Vec<ReaderId> {
        let mut may_go_on: Vec<ReaderId> = self.short.drain().collect();
        if let Some(unread) = self.readers.get_mut(&id) {
            unread.bytes -= bytes;
            self.held_bytes -= bytes;
            if unread.idle_since.is_some() {
                unread.idle_since = (unread.bytes > 0).then_some(now);
            }
            if std::mem::take(&mut unread.waits) {
                may_go_on.push(id);
            }
        }
        may_go_on
    }

    /// The slowest caller's connection makes room, one at a time.
    fn make_room(&mut self, now: Time, wanted_by: ReaderId) -> Room {
        if self
            .readers
            .values()
            .any(|unread| unread.is_cut && unread.bytes > 0)
        {
            return Room::Later;
        }
        let slow = self.readers.iter_mut().filter(|(id, unread)| {
            **id != wanted_by && unread.bytes > 0 && unread.idle_for(now) >= STALL
        });
        let slowest = slow.max_by_key(|(id, unread)| (unread.idle_for(now), unread.bytes, **id));
        match slowest {
            Some((id, unread)) => {
                unread.is_cut = true;
                Room::Without(*id)
            }
            None => Room::Later,
        }
    }
}

impl Unread {
    fn idle_for(&self, now: Time) -> Duration {
        self.idle_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }
}

#[cfg(test)]
#[path = "../tests/unit/unread_ledger.rs"]
mod tests;
