use super::*;

/// Pause after an upstream refused a request and did not say for how long.
const DEFAULT_BACKOFF: Duration = Duration::from_millis(200);

/// Time between two requests after a backoff, until one of them is taken.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(200);

/// For how long an upstream gets nothing from this host, as it refused a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    /// When this host sent the last request that tries it.
    last_sent: Time,
    /// Whether it asked for a backoff and has taken no request since.
    is_recovering: bool,
    until: Time,
}

impl Backoff {
    /// Notes a refusal that names no time.
    pub(crate) fn note_refused(&mut self, now: Time) {
        self.until = self.until.max(now + DEFAULT_BACKOFF);
    }

    /// Notes that the upstream wants nothing up to a moment; the latest one counts.
    pub(crate) fn note_asked(&mut self, until: Time) {
        if until > self.until {
            *self = Self {
                last_sent: Time::default(),
                is_recovering: true,
                until,
            };
        }
    }

    /// Notes that it took a request that was sent at a moment.
    pub(crate) fn note_accepted(&mut self, sent: Time) {
        if sent >= self.until {
            self.is_recovering = false;
        }
    }

    pub(crate) const fn note_sent(&mut self, now: Time) {
        self.last_sent = now;
    }

    /// When it ends, if the upstream asked for it.
    pub(crate) fn asked_until(&self) -> Option<Time> {
        self.is_recovering.then_some(self.until)
    }

    pub(crate) fn is_over(&self, now: Time) -> bool {
        now >= self.until
    }

    /// Whether a request may be sent after it: one at a time until one is taken, or the hosts'
    /// queues would all empty into an upstream that has just come back.
    pub(crate) fn may_send(&self, now: Time) -> bool {
        let sent_recently = self.is_recovering && now < self.last_sent + RECOVERY_INTERVAL;
        self.is_over(now) && !sent_recently
    }
}
