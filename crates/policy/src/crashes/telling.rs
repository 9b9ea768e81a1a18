use super::*;

/// Times that a crash is told: a datagram may be lost.
const TIMES: u32 = 3;

/// Time between the first two; it doubles. All are told well before the three seconds in
/// which other hosts must know.
const INTERVAL: Duration = Duration::from_millis(300);

/// Bytes a second that telling may take of a host's link, a sixth of one of 10 Mbit/s.
const BYTES_PER_S: f64 = 200_000.0;

/// Bytes of a note without crashes, of its headers, and of one crash.
const NOTE_BYTES: f64 = 90.0;
const CRASH_BYTES: f64 = 95.0;

/// What is told of a request.
#[derive(Debug)]
enum News {
    /// It ran to its end.
    Cleared(Fingerprint, Time),
    Crash(ObservedCrash),
}

/// News that are to be told again.
#[derive(Debug)]
struct Told {
    due: Time,
    left: u32,
    news: News,
}

/// Crashes that this host saw and that others are to be told.
///
/// Each is told to all hosts at once: the three crashes that bar a request may be seen by
/// three of them, and the fourth upstream may be chosen by any.
///
/// What goes wrong if that is all: one host bars a harmless request, and as it lets none
/// through, it never sees one run to its end; all others do. One would notice refusals with
/// `crashes_upstreams` by one host alone. So a host that told of a crash tells, too, when the
/// like ran to its end.
#[derive(Debug, Default)]
pub(crate) struct Telling {
    next_note: Time,
    /// Requests of which crashes were told, and when last.
    told_of: HashMap<Fingerprint, Time>,
    waiting: VecDeque<Told>,
}

impl Telling {
    pub(crate) fn add(&mut self, crash: ObservedCrash, now: Time) {
        self.told_of.insert(crash.fingerprint, now);
        self.push(News::Crash(crash), now);
    }

    /// A request ran to its end.
    pub(crate) fn note_finished(&mut self, fingerprint: &Fingerprint, now: Time) {
        if self.told_of.remove(fingerprint).is_some() {
            self.push(News::Cleared(*fingerprint, now), now);
        }
    }

    pub(crate) fn forget(&mut self, now: Time) {
        self.told_of
            .retain(|_, at| now.since(*at) < crash_record::FORGET_AFTER);
    }

    fn push(&mut self, news: News, now: Time) {
        self.waiting.push_back(Told {
            due: now,
            left: TIMES,
            news,
        });
    }

    /// What so many hosts are to be told now; `None` if it is nothing.
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
            let Some(mut told) = self.waiting.pop_front() else {
                break;
            };
            let is_full = note.crashes.len() + note.cleared.len() == peer::MAX_CRASHES;
            if now < told.due || is_full {
                self.waiting.push_back(told);
                continue;
            }
            match &told.news {
                News::Cleared(fingerprint, at) => note.cleared.push(Cleared {
                    age_ms: now.since(*at).as_millis() as u32,
                    fingerprint: *fingerprint,
                }),
                News::Crash(crash) => note.crashes.push(crash.to_told(now)),
            }
            told.due = now + INTERVAL * 2_u32.pow(TIMES - told.left);
            told.left -= 1;
            if told.left > 0 {
                self.waiting.push_back(told);
            }
        }
        let told = note.crashes.len() + note.cleared.len();
        let bytes = NOTE_BYTES + CRASH_BYTES * told as f64;
        let span = Duration::from_secs_f64(bytes * hosts as f64 / BYTES_PER_S);
        (told > 0).then(|| {
            self.next_note = now + span;
            note
        })
    }
}
