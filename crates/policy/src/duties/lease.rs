use super::*;

/// Time before the end of a term at which the holder stops acting, so that the last bytes it sends
/// arrive within the term.
const HOLDER_MARGIN: Duration = Duration::from_millis(500);

/// Time that a candidate waits beyond the end of a term before it takes the lease.
const CANDIDATE_MARGIN: Duration = Duration::from_millis(300);

/// Number of renewals per term. Two of them may fail without the loss of the lease.
const RENEWALS_PER_TERM: u32 = 4;

/// Number of previous holders stored in the lease, which is more than can release the lease within
/// a term.
const MAX_PREVIOUS_HOLDERS: usize = 8;

/// Interval at which a candidate reads the lease.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Next step for the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Read the lease from the store.
    Read,
    /// Do nothing for this time.
    Wait(Duration),
    /// Write the lease, on condition that the stored version equals `expected`.
    Write {
        /// Expected version in the store; 0 if the store has no lease yet.
        expected: u64,
        /// Record to write.
        record: LeaseRecord,
    },
}

/// A lease in the store, as seen by one host.
///
/// Only the conditional writes of the store decide which host holds the lease. A holder acts during
/// the term that began when it *sent* its last confirmed write, less a margin. A candidate waits a
/// whole term and a margin from when it first saw the holder's last write. Both use their own
/// clocks, which include the time that the machine was suspended.
///
/// A store that is restored from an older copy may have lost the holder's writes. The holder goes
/// on for the term that it has. What the copy says of other holders, or that there is none, lets no
/// host act before a whole term has passed in the new era.
#[derive(Debug)]
pub struct Lease {
    /// Newest known era of the store.
    era: StoreEra,
    host: HostId,
    incarnation: Incarnation,
    /// When the newest era was noticed; `None` for the first known era.
    restored_at: Option<Time>,
    state: State,
    term: Duration,
}

#[derive(Debug)]
enum State {
    /// Another host holds the lease, or no host does.
    Candidate(Candidate),
    /// This host was the last to write the lease.
    Holder(Holder),
}

#[derive(Debug, Default)]
struct Candidate {
    /// When the lease was last read.
    last_read: Option<Time>,
    /// When the store was first seen to have no lease.
    missing_since: Option<Time>,
    /// Lease that was last read, and when it was first read in this version.
    observed: Option<(StoredLease, Time)>,
    /// Write whose result is unknown, and when it was sent. The lease is read before anything else
    /// is written.
    pending_write: Option<(LeaseRecord, Time)>,
}

#[derive(Debug)]
struct Holder {
    /// When the last confirmed write was sent.
    confirmed_at: Time,
    /// When the last write was sent, confirmed or not.
    last_write_sent: Time,
    stored: StoredLease,
    /// Whether the result of the last write is unknown.
    is_write_unconfirmed: bool,
}

impl Lease {
    /// Creates the lease for a host that has not read it yet.
    pub fn new(host: HostId, incarnation: Incarnation, term: Duration) -> Self {
        Self {
            era: StoreEra::default(),
            host,
            incarnation,
            restored_at: None,
            state: State::Candidate(Candidate::default()),
            term,
        }
    }

    /// Returns the next step. `era` is the newest known era of the store.
    pub fn next_step(&mut self, now: Time, era: StoreEra) -> LeaseStep {
        self.note_era(now, era);
        let restored_at = self.restored_at;
        let host = self.host.clone();
        let incarnation = self.incarnation;
        let term = self.term;
        match &mut self.state {
            State::Holder(holder) if holder.is_write_unconfirmed || holder.stored.era < era => {
                LeaseStep::Read
            }
            State::Holder(holder) => {
                let due = holder.last_write_sent + term / RENEWALS_PER_TERM;
                if now < due {
                    return LeaseStep::Wait(due.since(now));
                }
                holder.last_write_sent = now;
                let record = holder.stored.record.clone();
                LeaseStep::Write {
                    expected: holder.stored.version,
                    record: LeaseRecord {
                        token: record.token.continued_at(holder.stored.position()),
                        ..record
                    },
                }
            }
            State::Candidate(candidate) => {
                let Some(last_read) = candidate
                    .last_read
                    .filter(|_| candidate.pending_write.is_none() && candidate.is_of_era(era))
                else {
                    return LeaseStep::Read;
                };
                let Some(wait) = candidate.time_until_free(now, &host, term, restored_at) else {
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

    /// Handles the result of a read; `None` if the store has no lease yet.
    pub fn note_read(&mut self, now: Time, stored: Option<StoredLease>) {
        match &mut self.state {
            State::Holder(holder) => match stored {
                // The store was restored from a copy. No other host has taken the lease since, as
                // it would first have waited for the end of this term.
                Some(stored)
                    if stored.record == holder.stored.record
                        && stored.era > holder.stored.era
                        && now < holder.confirmed_at + self.term =>
                {
                    holder.stored = stored;
                    holder.is_write_unconfirmed = false;
                    // Renews at once.
                    holder.last_write_sent = Time::default();
                }
                Some(stored)
                    if stored.record == holder.stored.record && stored.era == holder.stored.era =>
                {
                    if stored.version > holder.stored.version {
                        // The write whose response was lost has taken effect.
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
                    && !stored.is_of_earlier_era()
                {
                    return self.become_holder(stored.clone(), sent);
                }
                if let Some(stored) = stored.as_ref().filter(|stored| {
                    let record = &stored.record;
                    let own = record.host == self.host && record.incarnation == self.incarnation;
                    own && !record.released && !stored.is_of_earlier_era()
                }) {
                    // No other host has taken the lease since, but the time of this host's write is
                    // unknown. The lease is renewed before this host acts under it.
                    return self.become_holder(stored.clone(), Time::default());
                }
                candidate.observe(now, stored);
            }
        }
    }

    /// Handles a confirmed write that was sent at `sent`.
    pub fn note_written(&mut self, sent: Time, stored: StoredLease) {
        self.become_holder(stored, sent);
    }

    /// Handles a write that the store rejected because its condition did not hold.
    pub fn note_conflict(&mut self, now: Time) {
        self.become_candidate(now, None);
        if let State::Candidate(candidate) = &mut self.state {
            candidate.last_read = None;
        }
    }

    /// Handles a write without a response. The write may have taken effect, or may still do so.
    pub fn note_write_unknown(&mut self) {
        if let State::Holder(holder) = &mut self.state {
            holder.is_write_unconfirmed = true;
        }
    }

    /// Fencing token under which this host may act now, and the time until which it may.
    pub fn token(&self, now: Time) -> Option<(FencingToken, Time)> {
        let State::Holder(holder) = &self.state else {
            return None;
        };
        let until = holder.confirmed_at + self.term.saturating_sub(HOLDER_MARGIN);
        let is_held = now < until && !holder.stored.record.released;
        is_held.then_some((holder.stored.record.token, until))
    }

    /// Stored lease, if this host wrote it last. Further writes are conditional on its version.
    pub fn stored(&self) -> Option<&StoredLease> {
        match &self.state {
            State::Holder(holder) => Some(&holder.stored),
            State::Candidate(_) => None,
        }
    }

    /// Releases the lease: from now on this host does nothing under it. Returns the record and the
    /// expected version for the write that announces the release.
    pub fn release(&mut self, now: Time) -> Option<(LeaseRecord, u64)> {
        let State::Holder(holder) = &self.state else {
            return None;
        };
        let StoredLease {
            record, version, ..
        } = holder.stored.clone();
        self.become_candidate(now, None);
        let record = LeaseRecord {
            released: true,
            ..record
        };
        Some((record, version))
    }

    fn note_era(&mut self, now: Time, era: StoreEra) {
        if era <= self.era {
            return;
        }
        let is_first = self.era == StoreEra::default();
        self.era = era;
        self.restored_at = (!is_first).then_some(now);
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
    /// Whether the lease was read in an era of the store, or not found.
    fn is_of_era(&self, era: StoreEra) -> bool {
        let observed = self.observed.as_ref();
        observed.is_none_or(|(stored, _)| stored.era >= era)
    }

    fn observe(&mut self, now: Time, stored: Option<StoredLease>) {
        let missing_since = self.missing_since.unwrap_or(now);
        self.missing_since = stored.is_none().then_some(missing_since);
        self.observed = stored.map(|stored| {
            let first = self.observed.take().filter(|(seen, _)| *seen == stored);
            (stored, first.map_or(now, |(_, first)| first))
        });
    }

    /// Time until the lease may be taken; `None` if it may be taken now.
    ///
    /// A released lease may be taken immediately, except by its previous holders: two holders must
    /// not act alternately within one term. A missing lease is waited for, as the store may have
    /// been restored from a copy that lacks it.
    fn time_until_free(
        &self,
        now: Time,
        own: &HostId,
        term: Duration,
        restored_at: Option<Time>,
    ) -> Option<Duration> {
        let held_since = match &self.observed {
            Some((stored, first)) => {
                let record = &stored.record;
                let is_released = record.released && !stored.is_of_earlier_era();
                if is_released && !record.previous.contains(own) {
                    return None;
                }
                *first
            }
            None => self.missing_since.max(restored_at)?,
        };
        let free_at = held_since + term + CANDIDATE_MARGIN;
        (now < free_at).then(|| free_at.since(now))
    }

    fn next_record(&self, host: HostId, incarnation: Incarnation, era: StoreEra) -> LeaseRecord {
        let before = self.observed.as_ref().map(|(stored, _)| &stored.record);
        let holders = before.into_iter().flat_map(|before| {
            let holders = std::iter::once(&before.host).chain(&before.previous);
            holders.filter(|holder| **holder != host)
        });
        let previous: Vec<HostId> = holders.take(MAX_PREVIOUS_HOLDERS).cloned().collect();
        let replaced = self.observed.as_ref();
        let replaced = replaced.map_or(StorePosition::new(era, 0), |(stored, _)| stored.position());
        LeaseRecord {
            host,
            incarnation,
            previous,
            released: false,
            token: before
                .map_or(FencingToken::default(), |before| before.token)
                .next(replaced),
        }
    }
}
