use super::*;

/// Failures in a row after which an upstream is ejected.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;

/// First pause of an ejected upstream; each further one doubles.
const INITIAL_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Longest pause.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(30);

/// Time over which a returned upstream gets back to its full slots.
const SLOW_START_DURATION: Duration = Duration::from_secs(5);

/// Part of its slots that a returned upstream gets at once.
const INITIAL_SLOT_SHARE: f64 = 0.2;

/// Health of an upstream, from this host's own results.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Health {
    /// Takes no work until a probe succeeds.
    Ejected {
        /// Pause after the next failed probe.
        next_delay: Duration,
        /// When to probe.
        probe_at: Time,
        /// Whether a probe is under way.
        is_probing: bool,
    },
    /// Takes work.
    Healthy {
        /// Failures in a row.
        consecutive_failures: u32,
        /// When it came back, if it was ejected before.
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

    /// Notes a failure; true if the upstream has now failed often enough to be
    /// ejected.
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

    /// True once when a probe is to be sent.
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

    /// Part of its slots that the upstream may be given, 0 to 1.
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
