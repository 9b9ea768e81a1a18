use super::*;

/// How often a change is announced, because a datagram may be lost.
const REPEATS: u32 = 3;

/// Time between two announcements of the same change.
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Schedules the repeated announcements of a change to other hosts.
#[derive(Debug, Default)]
pub(crate) struct AnnouncementSchedule {
    due: Time,
    remaining: u32,
}

impl AnnouncementSchedule {
    /// Schedules the announcements of a change: the first one at once or, while an earlier change
    /// is still being announced, when its next announcement is due.
    pub(crate) fn schedule(&mut self, now: Time) {
        self.due = if self.remaining == 0 { now } else { self.due };
        self.remaining = REPEATS;
    }

    /// Schedules the announcements of a change, the first one at `due`.
    pub(crate) const fn schedule_at(&mut self, due: Time) {
        self.due = due;
        self.remaining = REPEATS;
    }

    /// Whether the last change was announced `REPEATS` times.
    pub(crate) const fn is_done(&self) -> bool {
        self.remaining == 0
    }

    /// Whether an announcement is due now; if so, schedules the next one. If `reannounce_after` is
    /// given, an unchanged state is announced again after that time.
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
