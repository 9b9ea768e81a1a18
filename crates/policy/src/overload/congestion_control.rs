use super::*;

/// Time after its last request for which a class counts as active.
const CLASS_ACTIVITY_WINDOW: Duration = Duration::from_secs(10);

/// Maximum share of attempts that upstreams may refuse. Below it, few urgent requests have all of
/// their attempts refused, and the upstreams still stay full.
const MAX_REFUSED_SHARE: f64 = 0.45;

/// Minimum time between two updates of the limit.
const MIN_WINDOW: Duration = Duration::from_millis(500);

/// Attempts needed for an update, because a share of fewer attempts would be mostly chance. A host
/// with few requests waits longer for them, up to `MAX_WINDOW`.
const MIN_ATTEMPTS: u32 = 6;

/// Time after which the limit is updated even with fewer attempts.
const MAX_WINDOW: Duration = Duration::from_secs(2);

/// Fraction of the refused share by which the limit is cut, and the maximum cut of one update. The
/// cut is partial because attempts that were just sent only show in the next window.
const CUT_FACTOR: f64 = 0.5;
const MAX_CUT: f64 = 0.3;

/// Growth of the limit in a window without refused attempts, and in one with few of them.
const FAST_GROWTH: f64 = 1.1;
const SLOW_GROWTH: f64 = 1.03;

/// Minimum limit, so that some requests of every class are sent.
const MIN_LIMIT: f64 = 1.0;

/// Multiple of the requests in flight above which the limit is removed.
const UNLIMITED_FACTOR: f64 = 3.0;

/// A class with recent requests.
#[derive(Debug)]
struct ActiveClass {
    last_requested: Time,
    /// Most urgent priority among the requests.
    priority: u8,
}

/// Limits how many requests of the least urgent class this host has in flight at a target's
/// upstreams while these refuse many attempts.
///
/// Full upstreams refuse urgent and other requests alike. Without this limit, a burst of the least
/// urgent class takes their slots, because whoever tries most often gets them, and one in seven
/// urgent requests has all of its attempts refused: urgent classes get status 503 while long
/// prompts of the least urgent class are started.
///
/// No host knows the load of an upstream, but each host sees how many of its attempts are refused.
/// Each host therefore sends fewer requests of the least urgent class while that share is too
/// large, and more again when it is smaller. Together the hosts keep the upstreams just full.
#[derive(Debug, Default)]
pub(crate) struct CongestionControl {
    active_classes: BTreeMap<ClassId, ActiveClass>,
    /// Attempts since the last update that upstreams refused or began to answer.
    attempts: u32,
    updated_at: Time,
    limit: Option<f64>,
    /// Attempts among `attempts` that were refused.
    refused: u32,
}

impl CongestionControl {
    /// Notes a request of a class.
    pub(crate) fn note_request(&mut self, now: Time, class: &ClassId, priority: u8) {
        self.active_classes
            .retain(|_, active| now.since(active.last_requested) < CLASS_ACTIVITY_WINDOW);
        let entry = self.active_classes.entry(class.clone());
        let active = entry.or_insert(ActiveClass {
            last_requested: now,
            priority,
        });
        active.last_requested = now;
        active.priority = active.priority.min(priority);
    }

    /// Returns the least urgent class, or `None` if all active classes are equally urgent.
    pub(crate) fn least_urgent_class(&self) -> Option<&ClassId> {
        let (class, least_urgent) = self
            .active_classes
            .iter()
            .max_by_key(|(_, active)| active.priority)?;
        let mut others = self.active_classes.values();
        let has_more_urgent = others.any(|other| other.priority < least_urgent.priority);
        has_more_urgent.then_some(class)
    }

    /// Notes that an upstream refused an attempt or began to answer it.
    pub(crate) fn note_attempt(&mut self, is_refused: bool) {
        self.attempts += 1;
        self.refused += u32::from(is_refused);
    }

    /// Whether the limit should be updated now.
    pub(crate) fn is_update_due(&self, now: Time) -> bool {
        let elapsed = now.since(self.updated_at);
        let has_enough_attempts = self.attempts >= MIN_ATTEMPTS || elapsed >= MAX_WINDOW;
        elapsed >= MIN_WINDOW && has_enough_attempts
    }

    /// Updates the limit. `in_flight` is the number of requests of the limited class that this host
    /// has at upstreams.
    pub(crate) fn update_limit(&mut self, now: Time, in_flight: usize) {
        self.updated_at = now;
        let attempts = std::mem::take(&mut self.attempts).max(MIN_ATTEMPTS);
        let refused = f64::from(std::mem::take(&mut self.refused)) / f64::from(attempts);
        let in_flight = (in_flight as f64).max(MIN_LIMIT);
        if refused > MAX_REFUSED_SHARE {
            let factor = 1.0 - (CUT_FACTOR * refused).min(MAX_CUT);
            let limit = self.limit.unwrap_or(in_flight).min(in_flight) * factor;
            self.limit = Some(limit.max(MIN_LIMIT));
            return;
        }
        let growth = if refused > 0.0 {
            SLOW_GROWTH
        } else {
            FAST_GROWTH
        };
        let limit = self.limit.map(|limit| limit * growth);
        self.limit = limit.filter(|limit| *limit <= UNLIMITED_FACTOR * in_flight);
    }

    /// Whether one more request may be sent while `in_flight` are at upstreams.
    pub(crate) fn has_room(&self, in_flight: usize) -> bool {
        self.limit.is_none_or(|limit| (in_flight as f64) < limit)
    }

    /// Whether `class` is the one that the limit applies to now.
    pub(crate) fn is_limited(&self, class: &ClassId) -> bool {
        self.limit.is_some() && self.least_urgent_class() == Some(class)
    }
}
