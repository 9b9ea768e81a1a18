use super::*;

/// Failures in a row after which an upstream is ejected.
const EJECT_AFTER: u32 = 3;

/// First pause of an ejected upstream; each further one doubles.
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// Time over which a returned upstream gets back to its full slots.
const SLOW_START: Duration = Duration::from_secs(5);

/// Part of its slots that a returned upstream gets at once.
const SLOW_START_SHARE: f64 = 0.2;

/// Health of an upstream, from this host's own results.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Health {
    /// Takes no work until a probe succeeds.
    Ejected {
        /// Pause after the next failed probe.
        next_pause: Duration,
        /// When to probe.
        probe_at: Time,
        /// Whether a probe is under way.
        probing: bool,
    },
    /// Takes work.
    Well {
        /// Failures in a row.
        failures: u32,
        /// When it came back, if it was ejected before.
        returned: Option<Time>,
    },
}

impl Default for Health {
    fn default() -> Self {
        Self::Well {
            failures: 0,
            returned: None,
        }
    }
}

impl Health {
    pub(crate) const fn is_well(&self) -> bool {
        matches!(self, Self::Well { .. })
    }

    pub(crate) fn note_success(&mut self) {
        if let Self::Well { failures, .. } = self {
            *failures = 0;
        }
    }

    /// Notes a failure; true if the upstream has now failed often enough to be
    /// ejected.
    pub(crate) fn note_failure(&mut self) -> bool {
        match self {
            Self::Ejected { .. } => false,
            Self::Well { failures, .. } => {
                *failures += 1;
                *failures >= EJECT_AFTER
            }
        }
    }

    pub(crate) fn eject(&mut self, now: Time) {
        *self = Self::Ejected {
            next_pause: FIRST_PAUSE * 2,
            probe_at: now + FIRST_PAUSE,
            probing: false,
        };
    }

    /// True once when a probe is to be sent.
    pub(crate) fn take_probe(&mut self, now: Time) -> bool {
        match self {
            Self::Ejected {
                probe_at, probing, ..
            } if !*probing && now >= *probe_at => {
                *probing = true;
                true
            }
            _ => false,
        }
    }

    pub(crate) fn note_probe(&mut self, healthy: bool, now: Time) {
        let Self::Ejected { next_pause, .. } = *self else {
            return;
        };
        *self = if healthy {
            Self::Well {
                failures: 0,
                returned: Some(now),
            }
        } else {
            Self::Ejected {
                next_pause: (next_pause * 2).min(MAX_PAUSE),
                probe_at: now + next_pause,
                probing: false,
            }
        };
    }

    /// Part of its slots that the upstream may be given, 0 to 1.
    pub(crate) fn share(&self, now: Time) -> f64 {
        match self {
            Self::Ejected { .. } => 0.0,
            Self::Well { returned: None, .. } => 1.0,
            Self::Well {
                returned: Some(returned),
                ..
            } => {
                let passed = now.since(*returned).as_secs_f64() / SLOW_START.as_secs_f64();
                (SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * passed).min(1.0)
            }
        }
    }
}
