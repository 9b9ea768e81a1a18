use super::*;

/// Number of times that an update is announced, because a datagram may be lost.
const ANNOUNCEMENT_COUNT: u32 = 3;

/// Time between the first two announcements. The interval doubles each time, and the last
/// announcement is sent well before the 3 s within which other hosts must know of a crash.
const FIRST_INTERVAL: Duration = Duration::from_millis(300);

/// Bytes per second that the announcements may use, a sixth of a host's 10 Mbit/s link.
const MAX_BYTES_PER_S: f64 = 200_000.0;

/// Maximum number of subjects whose completion is announced.
const MAX_ANNOUNCED: usize = 4_096;

/// Bytes of a note without crashes, including its headers, and bytes of one crash.
const NOTE_BYTES: f64 = 90.0;
const CRASH_BYTES: f64 = 95.0;

/// An announced update about a subject.
#[derive(Debug)]
enum Update {
    /// A request with the subject completed, at the given time.
    Cleared(CrashSubject, Time),
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
///
/// Of a prompt part, a host also announces a completion after a crash that another host announced.
/// Parts are shared with harmless requests, and the host that observed the crash may serve none of
/// those for a long time.
#[derive(Debug, Default)]
pub(crate) struct CrashAnnouncements {
    next_note: Time,
    /// Subjects with announced crashes, with the time at which the latest one became known.
    announced: HashMap<CrashSubject, Time>,
    pending: VecDeque<Announcement>,
}

impl CrashAnnouncements {
    pub(crate) fn add(&mut self, crash: ObservedCrash, now: Time) {
        self.announced.insert(crash.subject, now);
        self.push(Update::Crash(crash), now);
    }

    /// Notes that another host announced a crash or that it is in the store.
    pub(crate) fn note_others(&mut self, subject: CrashSubject, now: Time) {
        if matches!(subject, CrashSubject::PromptPart(_)) && self.announced.len() < MAX_ANNOUNCED {
            self.announced.insert(subject, now);
        }
    }

    /// Notes that another host announced a completion, which is not announced once more.
    pub(crate) fn note_cleared_by_other(&mut self, subject: &CrashSubject) {
        if matches!(subject, CrashSubject::PromptPart(_)) {
            self.announced.remove(subject);
        }
    }

    /// Announces the completion of a request if a crash of the subject was announced before.
    pub(crate) fn note_completion(&mut self, subject: &CrashSubject, now: Time) {
        if self.announced.remove(subject).is_some() {
            self.push(Update::Cleared(*subject, now), now);
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
                Update::Cleared(subject, at) => note.cleared.push(Cleared {
                    age_ms: now.since(*at).as_millis() as u32,
                    subject: *subject,
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
