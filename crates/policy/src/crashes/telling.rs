use super::*;

/// Times that a crash is announced: a datagram may be lost.
const TIMES: u32 = 3;

/// Time between the first two; it doubles. All are announced well before the three seconds in
/// which other hosts must know.
const INTERVAL: Duration = Duration::from_millis(300);

/// Bytes a second that telling may take of a host's link, a sixth of one of 10 Mbit/s.
const BYTES_PER_S: f64 = 200_000.0;

/// Bytes of a note without crashes, of its headers, and of one crash.
const NOTE_BYTES: f64 = 90.0;
const CRASH_BYTES: f64 = 95.0;

/// What is announced of a request.
#[derive(Debug)]
enum News {
    /// It ran to its end.
    Cleared(Fingerprint, Time),
    Crash(ObservedCrash),
}

/// News that are to be announced again.
#[derive(Debug)]
struct Announcement {
    due: Time,
    left: u32,
    news: News,
}

/// Crashes that this host saw and that others are to be notified of.
///
/// Each is announced to all hosts at once: the three crashes that bar a request may be seen by
/// three of them, and the fourth upstream may be chosen by any.
///
/// What goes wrong if that is all: one host bars a harmless request, and as it lets none
/// through, it never sees one run to its end; all others do. One would notice refusals with
/// `crashes_upstreams` by one host alone. So a host that announced a crash tells, too, when the
/// like ran to its end.
#[derive(Debug, Default)]
pub(crate) struct Telling {
    next_note: Time,
    /// Requests of which crashes were announced, and when last.
    announced: HashMap<Fingerprint, Time>,
    waiting: VecDeque<Announcement>,
}

impl Telling {
    pub(crate) fn add(&mut self, crash: ObservedCrash, now: Time) {
        self.announced.insert(crash.fingerprint, now);
        self.push(News::Crash(crash), now);
    }

    /// A request ran to its end.
    pub(crate) fn note_finished(&mut self, fingerprint: &Fingerprint, now: Time) {
        if self.announced.remove(fingerprint).is_some() {
            self.push(News::Cleared(*fingerprint, now), now);
        }
    }

    pub(crate) fn forget(&mut self, now: Time) {
        self.announced
            .retain(|_, at| now.since(*at) < crash_record::FORGET_AFTER);
    }

    fn push(&mut self, news: News, now: Time) {
        self.waiting.push_back(Announcement {
            due: now,
            left: TIMES,
            news,
        });
    }

    /// What is to be announced to so many hosts now; `None` if it is nothing.
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
        for _ in 0..self.waiting.len() {
            let Some(mut announcement) = self.waiting.pop_front() else {
                break;
            };
            let is_full = note.crashes.len() + note.cleared.len() == peer::MAX_CRASHES;
            if now < announcement.due || is_full {
                self.waiting.push_back(announcement);
                continue;
            }
            match &announcement.news {
                News::Cleared(fingerprint, at) => note.cleared.push(ClearedRequest {
                    age_ms: now.since(*at).as_millis() as u32,
                    fingerprint: *fingerprint,
                }),
                News::Crash(crash) => note.crashes.push(crash.to_note(now)),
            }
            announcement.due = now + INTERVAL * 2_u32.pow(TIMES - announcement.left);
            announcement.left -= 1;
            if announcement.left > 0 {
                self.waiting.push_back(announcement);
            }
        }
        let total = note.crashes.len() + note.cleared.len();
        let bytes = NOTE_BYTES + CRASH_BYTES * total as f64;
        let span = Duration::from_secs_f64(bytes * hosts as f64 / BYTES_PER_S);
        (total > 0).then(|| {
            self.next_note = now + span;
            note
        })
    }
}
