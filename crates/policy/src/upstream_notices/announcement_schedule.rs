use super::*;

/// Times that a change is announced: a datagram may be lost.
const REPEATS: u32 = 3;

/// Time between two of them.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);

/// When something is announced to the other hosts next.
#[derive(Debug, Default)]
pub(crate) struct AnnouncementSchedule {
    due: Time,
    remaining: u32,
}

impl AnnouncementSchedule {
    /// Tells a change, at once unless the last one was announced just now.
    pub(crate) fn schedule(&mut self, now: Time) {
        self.due = if self.remaining == 0 { now } else { self.due };
        self.remaining = REPEATS;
    }

    /// Tells a change from a moment on.
    pub(crate) const fn schedule_at(&mut self, due: Time) {
        self.due = due;
        self.remaining = REPEATS;
    }

    /// Whether the last change was announced often enough.
    pub(crate) const fn is_done(&self) -> bool {
        self.remaining == 0
    }

    /// Whether it is to be announced now; `reannounce_after` is the time after which it is announced again.
    pub(crate) fn take_due(&mut self, now: Time, reannounce_after: Option<Duration>) -> bool {
        if now < self.due {
            return false;
        }
        if self.remaining > 0 {
            self.remaining -= 1;
            self.due = now + REPEAT_INTERVAL;
            return true;
        }
        if let Some(interval) = reannounce_after {
            self.due = now + interval;
        }
        reannounce_after.is_some()
    }
}
