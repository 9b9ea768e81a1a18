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

/// A crash that is to be told again.
#[derive(Debug)]
struct Told {
    crash: ObservedCrash,
    due: Time,
    left: u32,
}

/// Crashes that this host saw and that others are to be told.
///
/// Each is told to all hosts at once: the three crashes that bar a request may be seen by
/// three of them, and the fourth upstream may be chosen by any.
#[derive(Debug, Default)]
pub(crate) struct Telling {
    next_note: Time,
    waiting: VecDeque<Told>,
}

impl Telling {
    pub(crate) fn add(&mut self, crash: ObservedCrash, now: Time) {
        self.waiting.push_back(Told {
            crash,
            due: now,
            left: TIMES,
        });
    }

    /// What so many hosts are to be told now.
    pub(crate) fn take(&mut self, hosts: usize, now: Time) -> Vec<peer::Crash> {
        let mut crashes = Vec::new();
        if now < self.next_note {
            return crashes;
        }
        for _ in 0..self.waiting.len() {
            let Some(mut told) = self.waiting.pop_front() else {
                break;
            };
            if now < told.due || crashes.len() == peer::MAX_CRASHES {
                self.waiting.push_back(told);
                continue;
            }
            crashes.push(told.crash.to_told(now));
            told.due = now + INTERVAL * 2_u32.pow(TIMES - told.left);
            told.left -= 1;
            if told.left > 0 {
                self.waiting.push_back(told);
            }
        }
        if !crashes.is_empty() {
            let bytes = NOTE_BYTES + CRASH_BYTES * crashes.len() as f64;
            self.next_note = now + Duration::from_secs_f64(bytes * hosts as f64 / BYTES_PER_S);
        }
        crashes
    }
}
