use super::*;

/// What the holder leaves of a term, for its last bytes to be under way …
const HOLDER_MARGIN: Duration = Duration::from_millis(500);

/// … and what the next one waits beyond it.
const CANDIDATE_MARGIN: Duration = Duration::from_millis(300);

/// Time between two renewals, as a part of a term: two may fail.
const RENEWALS_PER_TERM: u32 = 4;

/// Holders that the lease remembers: more than can give it up within a term.
const MAX_PREVIOUS_HOLDERS: usize = 8;

/// Time between two looks of a host that waits for the lease.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// What is to be done for the lease now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Read it from the store.
    Read,
    /// Nothing for this time.
    Wait(Duration),
    /// Write it, on condition that the store has this version of it; 0 for none at all.
    Write {
        /// The version.
        expected: u64,
        /// What to write.
        record: LeaseRecord,
    },
}

/// A lease in the store, as one host sees it.
///
/// Only the store's conditional writes decide who holds it. A holder acts while the term that
/// began when it *sent* its last confirmed write lasts, less a margin; a taker waits a whole
/// term and a margin from when it first saw the holder's last write. Both count on their own
/// clocks, which count suspended time.
#[derive(Debug)]
pub struct Lease {
    host: HostId,
    incarnation: Incarnation,
    state: State,
    term: Duration,
}

#[derive(Debug)]
enum State {
    /// Another host holds it, or nobody does.
    Candidate(Candidate),
    /// This host was the last to write it.
    Holder(Holder),
}

#[derive(Debug, Default)]
struct Candidate {
    /// When the lease was read last.
    last_read: Option<Time>,
    /// What was seen last, and when it was first seen so.
    observed: Option<(StoredLease, Time)>,
    /// A write whose answer is open: the lease is read before anything else is written.
    pending_write: Option<(LeaseRecord, Time)>,
}

#[derive(Debug)]
struct Holder {
    /// When the last confirmed write was sent.
    confirmed_at: Time,
    /// When the last write was sent, confirmed or not.
    last_write_sent: Time,
    stored: StoredLease,
    /// Whether the answer to the last write did not come.
    is_write_unconfirmed: bool,
}

impl Lease {
    /// The lease as a host sees it that knows nothing of it yet.
    pub fn new(host: HostId, incarnation: Incarnation, term: Duration) -> Self {
        Self {
            host,
            incarnation,
            state: State::Candidate(Candidate::default()),
            term,
        }
    }

    /// What to do now.
    pub fn next_step(&mut self, now: Time, era: u32) -> LeaseStep {
        let host = self.host.clone();
        let incarnation = self.incarnation;
        let term = self.term;
        match &mut self.state {
            State::Holder(holder) if holder.is_write_unconfirmed => LeaseStep::Read,
            State::Holder(holder) => {
                let due = holder.last_write_sent + term / RENEWALS_PER_TERM;
                if now < due {
                    return LeaseStep::Wait(due.since(now));
                }
                holder.last_write_sent = now;
                LeaseStep::Write {
                    expected: holder.stored.version,
                    record: holder.stored.record.clone(),
                }
            }
            State::Candidate(candidate) => {
                let Some(last_read) = candidate
                    .last_read
                    .filter(|_| candidate.pending_write.is_none())
                else {
                    return LeaseStep::Read;
                };
                let Some(wait) = candidate.time_until_free(now, &host, term) else {
                    let record = candidate.next_record(host, incarnation, era);
                    candidate.pending_write = Some((record.clone(), now));
                    let seen = candidate.observed.as_ref();
                    return LeaseStep::Write {
                        expected: seen.map_or(0, |(stored, _)| stored.version),
                        record,
                    };
                };
                let due = last_read + READ_INTERVAL;
                if now >= due {
                    return LeaseStep::Read;
                }
                LeaseStep::Wait(wait.min(due.since(now)))
            }
        }
    }

    /// Takes what was read; `None` if there is no lease yet.
    pub fn note_read(&mut self, now: Time, stored: Option<StoredLease>) {
        match &mut self.state {
            State::Holder(holder) => match stored {
                Some(stored) if stored.record == holder.stored.record => {
                    if stored.version > holder.stored.version {
                        // The write whose answer was lost was done.
                        holder.confirmed_at = holder.last_write_sent;
                    }
                    holder.stored = stored;
                    holder.is_write_unconfirmed = false;
                }
                stored => self.become_candidate(now, stored),
            },
            State::Candidate(candidate) => {
                candidate.last_read = Some(now);
                if let Some((record, sent)) = candidate.pending_write.take()
                    && let Some(stored) = &stored
                    && stored.record == record
                {
                    return self.become_holder(stored.clone(), sent);
                }
                if let Some(stored) = stored.as_ref().filter(|stored| {
                    let record = &stored.record;
                    let own = record.host == self.host && record.incarnation == self.incarnation;
                    own && !record.released
                }) {
                    // Nobody took it since, but when it was written is not known: it is
                    // renewed before anything is done under it.
                    return self.become_holder(stored.clone(), Time::default());
                }
                candidate.observe(now, stored);
            }
        }
    }

    /// The store did a write that was sent at a moment, and gave it a version.
    pub fn note_written(&mut self, sent: Time, record: LeaseRecord, version: u64) {
        self.become_holder(StoredLease { record, version }, sent);
    }

    /// The store did not do the last write, as its condition did not hold.
    pub fn note_conflict(&mut self, now: Time) {
        self.become_candidate(now, None);
        if let State::Candidate(candidate) = &mut self.state {
            candidate.last_read = None;
        }
    }

    /// The store gave no answer to the last write: it may have been done, or will be.
    pub fn note_write_unknown(&mut self) {
        if let State::Holder(holder) = &mut self.state {
            holder.is_write_unconfirmed = true;
        }
    }

    /// The token under which this host may act now, and until when.
    pub fn token(&self, now: Time) -> Option<(FencingToken, Time)> {
        let State::Holder(holder) = &self.state else {
            return None;
        };
        let until = holder.confirmed_at + self.term.saturating_sub(HOLDER_MARGIN);
        let is_held = now < until && !holder.stored.record.released;
        is_held.then_some((holder.stored.record.token, until))
    }

    /// The lease as it lies in the store, where this host wrote it last: further writes are
    /// made on the condition that it still does.
    pub fn stored(&self) -> Option<&StoredLease> {
        match &self.state {
            State::Holder(holder) => Some(&holder.stored),
            State::Candidate(_) => None,
        }
    }

    /// Gives the lease up: from now on this host does nothing under it. Gives the write that
    /// tells the others.
    pub fn release(&mut self, now: Time) -> Option<(LeaseRecord, u64)> {
        let State::Holder(holder) = &self.state else {
            return None;
        };
        let StoredLease { record, version } = holder.stored.clone();
        self.become_candidate(now, None);
        let record = LeaseRecord {
            released: true,
            ..record
        };
        Some((record, version))
    }

    fn become_holder(&mut self, stored: StoredLease, sent: Time) {
        self.state = State::Holder(Holder {
            confirmed_at: sent,
            last_write_sent: sent,
            stored,
            is_write_unconfirmed: false,
        });
    }

    fn become_candidate(&mut self, now: Time, stored: Option<StoredLease>) {
        let mut candidate = Candidate::default();
        if stored.is_some() {
            candidate.last_read = Some(now);
            candidate.observe(now, stored);
        }
        self.state = State::Candidate(candidate);
    }
}

impl Candidate {
    fn observe(&mut self, now: Time, stored: Option<StoredLease>) {
        self.observed = stored.map(|stored| {
            let first = self.observed.take().filter(|(seen, _)| *seen == stored);
            (stored, first.map_or(now, |(_, first)| first))
        });
    }

    /// Time until the lease may be taken; `None` if it may be now.
    ///
    /// One that was released is free at once, except for hosts that held it before: two
    /// holders must not act in turns within a term.
    fn time_until_free(&self, now: Time, own: &HostId, term: Duration) -> Option<Duration> {
        let (stored, first) = self.observed.as_ref()?;
        let record = &stored.record;
        if record.released && !record.previous.contains(own) {
            return None;
        }
        let free_at = *first + term + CANDIDATE_MARGIN;
        (now < free_at).then(|| free_at.since(now))
    }

    fn next_record(&self, host: HostId, incarnation: Incarnation, era: u32) -> LeaseRecord {
        let before = self.observed.as_ref().map(|(stored, _)| &stored.record);
        let holders = before.into_iter().flat_map(|before| {
            let holders = std::iter::once(&before.host).chain(&before.previous);
            holders.filter(|holder| **holder != host)
        });
        let previous: Vec<HostId> = holders.take(MAX_PREVIOUS_HOLDERS).cloned().collect();
        LeaseRecord {
            host,
            incarnation,
            previous,
            released: false,
            token: before
                .map_or(FencingToken::default(), |before| before.token)
                .next(era),
        }
    }
}
