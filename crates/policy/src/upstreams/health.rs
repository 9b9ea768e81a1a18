use super::*;

/// Number of consecutive failures after which an upstream is ejected.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;

/// Time from the ejection of an upstream to the first probe. Each further delay is twice as long.
const INITIAL_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Maximum time between a failed probe and the next one.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(30);

/// Time in which an upstream regains all of its slots after an ejection.
const SLOW_START_DURATION: Duration = Duration::from_secs(5);

/// Share of its slots that an upstream may use immediately after an ejection.
const INITIAL_SLOT_SHARE: f64 = 0.2;

/// Health of an upstream, from the results of this host alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Health {
    /// The upstream gets no requests until a probe succeeds.
    Ejected {
        /// Delay of the next probe after a failed one.
        next_delay: Duration,
        /// When the next probe is due.
        probe_at: Time,
        /// Whether a probe is in flight.
        is_probing: bool,
    },
    /// The upstream gets requests.
    Healthy {
        consecutive_failures: u32,
        /// When the last ejection ended; `None` if the upstream was never ejected.
        returned_at: Option<Time>,
    },
}

impl Default for Health {
    fn default() -> Self {
        Self::Healthy {
            consecutive_failures: 0,
            returned_at: None,
        }
    }
}

impl Health {
    pub(crate) const fn is_healthy(&self) -> bool {
        matches!(self, Self::Healthy { .. })
    }

    pub(crate) fn note_success(&mut self) {
        if let Self::Healthy {
            consecutive_failures,
            ..
        } = self
        {
            *consecutive_failures = 0;
        }
    }

    /// Records a failure. Returns whether the upstream has failed often enough to be ejected.
    pub(crate) fn note_failure(&mut self) -> bool {
        match self {
            Self::Ejected { .. } => false,
            Self::Healthy {
                consecutive_failures,
                ..
            } => {
                *consecutive_failures += 1;
                *consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
            }
        }
    }

    pub(crate) fn eject(&mut self, now: Time) {
        *self = Self::Ejected {
            next_delay: INITIAL_PROBE_DELAY * 2,
            probe_at: now + INITIAL_PROBE_DELAY,
            is_probing: false,
        };
    }

    /// Whether a probe is to be sent now. True only once for each probe.
    pub(crate) fn take_probe(&mut self, now: Time) -> bool {
        match self {
            Self::Ejected {
                probe_at,
                is_probing,
                ..
            } if !*is_probing && now >= *probe_at => {
                *is_probing = true;
                true
            }
            _ => false,
        }
    }

    pub(crate) fn note_probe(&mut self, healthy: bool, now: Time) {
        let Self::Ejected { next_delay, .. } = *self else {
            return;
        };
        *self = if healthy {
            Self::Healthy {
                consecutive_failures: 0,
                returned_at: Some(now),
            }
        } else {
            Self::Ejected {
                next_delay: (next_delay * 2).min(MAX_PROBE_DELAY),
                probe_at: now + next_delay,
                is_probing: false,
            }
        };
    }

    /// Share of its slots that the upstream may use, from 0 to 1.
    pub(crate) fn slot_share(&self, now: Time) -> f64 {
        match self {
            Self::Ejected { .. } => 0.0,
            Self::Healthy {
                returned_at: None, ..
            } => 1.0,
            Self::Healthy {
                returned_at: Some(returned_at),
                ..
            } => {
                let elapsed_share =
                    now.since(*returned_at).as_secs_f64() / SLOW_START_DURATION.as_secs_f64();
                (INITIAL_SLOT_SHARE + (1.0 - INITIAL_SLOT_SHARE) * elapsed_share).min(1.0)
            }
        }
    }
}
