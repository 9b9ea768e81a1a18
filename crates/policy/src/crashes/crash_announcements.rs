use super::*;

/// Number of times that an update is announced, because a datagram may be lost.
const ANNOUNCEMENT_COUNT: u32 = 3;

/// Time between the first two announcements. The interval doubles each time, and the last
/// announcement is sent well before the 3 s within which other hosts must know of a crash.
const FIRST_INTERVAL: Duration = Duration::from_millis(300);

/// Bytes per second that the announcements may use, a sixth of a host's 10 Mbit/s link.
const MAX_BYTES_PER_S: f64 = 200_000.0;

/// Bytes of a note without crashes, including its headers, and bytes of one crash.
const NOTE_BYTES: f64 = 90.0;
const CRASH_BYTES: f64 = 95.0;

/// An announced update about a request.
#[derive(Debug)]
enum Update {
    /// The request completed, at the given time.
    Cleared(Fingerprint, Time),
    Crash(ObservedCrash),
}

/// An update that is due to be announced again.
#[derive(Debug)]
struct Announcement {
    due: Time,
    remaining: u32,
    update: Update,
}

/// Announces the crashes that this host observed to the other hosts.
///
/// Each crash is announced to all hosts at once. The three crashes that bar a request may be
/// observed by three different hosts, and the next upstream may be chosen by any host.
///
/// A host that announced a crash also announces when an identical request completes. Without this,
/// a host that bars a harmless request never sees the request complete, because it lets none
/// through, while all other hosts do. That single host would keep refusing the request with
/// `crashes_upstreams`.
#[derive(Debug, Default)]
pub(crate) struct CrashAnnouncements {
    next_note: Time,
    /// Requests whose crashes were announced, with the time of the latest announced crash.
    announced: HashMap<Fingerprint, Time>,
    pending: VecDeque<Announcement>,
}

impl CrashAnnouncements {
    pub(crate) fn add(&mut self, crash: ObservedCrash, now: Time) {
        self.announced.insert(crash.fingerprint, now);
        self.push(Update::Crash(crash), now);
    }

    /// Announces the completion of a request if a crash of the request was announced before.
    pub(crate) fn note_completion(&mut self, fingerprint: &Fingerprint, now: Time) {
        if self.announced.remove(fingerprint).is_some() {
            self.push(Update::Cleared(*fingerprint, now), now);
        }
    }

    pub(crate) fn forget(&mut self, now: Time) {
        self.announced
            .retain(|_, at| now.since(*at) < crash_record::RETENTION);
    }

    fn push(&mut self, update: Update, now: Time) {
        self.pending.push_back(Announcement {
            due: now,
            remaining: ANNOUNCEMENT_COUNT,
            update,
        });
    }

    /// Returns the updates to announce now to the given number of hosts, or `None` if there are
    /// none or the bandwidth limit is reached.
    pub(crate) fn take(&mut self, host: &HostId, hosts: usize, now: Time) -> Option<CrashNote> {
        if now < self.next_note {
            return None;
        }
        let mut note = CrashNote {
            cleared: Vec::new(),
            crashes: Vec::new(),
            host: host.clone(),
            protocol: peer::PROTOCOL,
        };
        for _ in 0..self.pending.len() {
            let Some(mut announcement) = self.pending.pop_front() else {
                break;
            };
            let is_full = note.crashes.len() + note.cleared.len() == peer::MAX_CRASHES;
            if now < announcement.due || is_full {
                self.pending.push_back(announcement);
                continue;
            }
            match &announcement.update {
                Update::Cleared(fingerprint, at) => note.cleared.push(ClearedRequest {
                    age_ms: now.since(*at).as_millis() as u32,
                    fingerprint: *fingerprint,
                }),
                Update::Crash(crash) => note.crashes.push(crash.to_note(now)),
            }
            announcement.due =
                now + FIRST_INTERVAL * 2_u32.pow(ANNOUNCEMENT_COUNT - announcement.remaining);
            announcement.remaining -= 1;
            if announcement.remaining > 0 {
                self.pending.push_back(announcement);
            }
        }
        let total = note.crashes.len() + note.cleared.len();
        let bytes = NOTE_BYTES + CRASH_BYTES * total as f64;
        let send_time = Duration::from_secs_f64(bytes * hosts as f64 / MAX_BYTES_PER_S);
        (total > 0).then(|| {
            self.next_note = now + send_time;
            note
        })
    }
}
