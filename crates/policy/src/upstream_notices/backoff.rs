use super::*;

/// Backoff after a refusal that does not say how long to back off.
const DEFAULT_BACKOFF: Duration = Duration::from_millis(200);

/// Minimum time between two requests after a backoff, until the upstream accepts one of them.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(200);

/// How long an upstream gets no requests from this host because it refused one.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    /// When this host last sent a request to the upstream.
    last_sent: Time,
    /// Whether the upstream asked for a backoff and has accepted no request since.
    is_recovering: bool,
    until: Time,
}

impl Backoff {
    /// Records a refusal that does not say how long to back off.
    pub(crate) fn note_refused(&mut self, now: Time) {
        self.until = self.until.max(now + DEFAULT_BACKOFF);
    }

    /// Records that the upstream asks for a backoff until `until`; the latest such time counts.
    pub(crate) fn note_asked(&mut self, until: Time) {
        if until > self.until {
            *self = Self {
                last_sent: Time::default(),
                is_recovering: true,
                until,
            };
        }
    }

    /// Records that the upstream accepted a request that was sent at `sent`.
    pub(crate) fn note_accepted(&mut self, sent: Time) {
        if sent >= self.until {
            self.is_recovering = false;
        }
    }

    pub(crate) const fn note_sent(&mut self, now: Time) {
        self.last_sent = now;
    }

    /// When the backoff ends, if the upstream asked for it.
    pub(crate) fn asked_until(&self) -> Option<Time> {
        self.is_recovering.then_some(self.until)
    }

    pub(crate) fn is_over(&self, now: Time) -> bool {
        now >= self.until
    }

    /// Whether a request may be sent. After a backoff that the upstream asked for, requests are
    /// sent one at a time until one is accepted. Otherwise the queues of all hosts would empty at
    /// once into an upstream that has just recovered.
    pub(crate) fn may_send(&self, now: Time) -> bool {
        let sent_recently = self.is_recovering && now < self.last_sent + RECOVERY_INTERVAL;
        self.is_over(now) && !sent_recently
    }
}
