use super::*;

/// Time for which a class counts as asked for.
const CLASS_ACTIVITY_WINDOW: Duration = Duration::from_secs(10);

/// Share of refused attempts that upstreams may come to. With the attempts that a request
/// has, few urgent ones are then refused by all of them, and the upstreams stay full.
const MAX_REFUSED_SHARE: f64 = 0.45;

/// Time over which attempts are counted between two changes of the limit, if they are
/// enough …
const MIN_WINDOW: Duration = Duration::from_millis(500);

/// … to tell a share from chance; a host with few requests waits longer, …
const MIN_ATTEMPTS: u32 = 6;

/// … up to this.
const MAX_WINDOW: Duration = Duration::from_secs(2);

/// Part of the refused share by which the limit is cut, and the most that is cut at a time:
/// what was just sent shows only in the next window.
const CUT_FACTOR: f64 = 0.5;
const MAX_CUT: f64 = 0.3;

/// Growth of the limit in a window in which nothing was refused, and in one in which little
/// was.
const FAST_GROWTH: f64 = 1.1;
const SLOW_GROWTH: f64 = 1.03;

/// Least limit: every class gets something.
const MIN_LIMIT: f64 = 1.0;

/// A limit that is so many times what is there is none.
const UNLIMITED_FACTOR: f64 = 3.0;

/// A class that was asked for.
#[derive(Debug)]
struct ActiveClass {
    last_requested: Time,
    /// The most urgent priority that it came with.
    priority: u8,
}

/// How many requests of the least urgent class this host has at a target's upstreams while
/// those refuse much.
///
/// What goes wrong without it: upstreams that are full refuse whatever comes, urgent or not.
/// Under a burst of the least urgent class their places are taken by whoever comes most
/// often, and one in seven urgent requests is refused by all that it is sent to. One would
/// notice 503 of urgent classes while long prompts of the least urgent one begin.
///
/// No host knows what is at an upstream, but each sees what is refused. So each lets fewer
/// of the least urgent class through while too large a share of its attempts is refused, and
/// more again as less is: together they keep the upstreams just full.
#[derive(Debug, Default)]
pub(crate) struct CongestionControl {
    active_classes: BTreeMap<ClassId, ActiveClass>,
    /// Attempts since the last change that upstreams refused or began to answer.
    attempts: u32,
    updated_at: Time,
    limit: Option<f64>,
    /// Refused ones among them.
    refused: u32,
}

impl CongestionControl {
    /// A request came.
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

    /// The class that yields to others; none if all are as urgent.
    pub(crate) fn least_urgent_class(&self) -> Option<&ClassId> {
        let (class, least_urgent) = self
            .active_classes
            .iter()
            .max_by_key(|(_, active)| active.priority)?;
        let mut others = self.active_classes.values();
        let has_more_urgent = others.any(|other| other.priority < least_urgent.priority);
        has_more_urgent.then_some(class)
    }

    /// An upstream refused an attempt, or began to answer it.
    pub(crate) fn note_attempt(&mut self, is_refused: bool) {
        self.attempts += 1;
        self.refused += u32::from(is_refused);
    }

    /// Whether the limit is to be looked at now.
    pub(crate) fn is_update_due(&self, now: Time) -> bool {
        let elapsed = now.since(self.updated_at);
        let has_enough_attempts = self.attempts >= MIN_ATTEMPTS || elapsed >= MAX_WINDOW;
        elapsed >= MIN_WINDOW && has_enough_attempts
    }

    /// Changes the limit, given what this host has of the class at upstreams.
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

    /// Whether one more may be sent while so many are there.
    pub(crate) fn has_room(&self, in_flight: usize) -> bool {
        self.limit.is_none_or(|limit| (in_flight as f64) < limit)
    }

    /// Whether a class is the one that is limited.
    pub(crate) fn is_limited(&self, class: &ClassId) -> bool {
        self.limit.is_some() && self.least_urgent_class() == Some(class)
    }
}
