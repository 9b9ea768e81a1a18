use super::*;

/// Part of the upstreams that is busy on average, at the most: a burst of 2.5 times that is
/// carried without notice.
const MAX_AVERAGE_UTILIZATION: f64 = 0.3;

/// Part of them that is busy in the busiest moment: a prompt then waits for no longer than the
/// time in which it is read.
const MAX_PEAK_UTILIZATION: f64 = 0.5;

/// The same after a failure domain lost its reclaimable upstreams: urgent requests go first and
/// stay in time, others wait.
const MAX_UTILIZATION_AFTER_LOSS: f64 = 0.8;

/// Part of the wanted upstreams that must be left after such a loss; below it regular ones are
/// ordered.
pub(super) const MIN_SHARE_AFTER_LOSS: f64 = MAX_PEAK_UTILIZATION / MAX_UTILIZATION_AFTER_LOSS;

/// Part of the number at the start that is kept however little is asked for: what upstreams
/// keep of prompts is lost with them.
const MIN_BASELINE_SHARE: f64 = 0.25;

/// Reading that may wait before an upstream on average, in milliseconds: interactive requests
/// begin within half a second.
const MAX_PREFILL_WAIT_MS: f64 = 300.0;

/// Most that waiting work adds to the upstreams that are there, as a factor: it may be stuck
/// before sick ones, which more of them don't mend.
const MAX_BACKLOG_GROWTH: f64 = 1.5;

/// Part of the wanted number by which more must be needed to order it, or fewer be there to
/// count as missing: each order is a call.
const SCALE_UP_MARGIN: f64 = 0.1;

/// Part of the wanted number up to which fewer must be enough …
const SCALE_DOWN_RATIO: f64 = 0.75;

/// … for this time, before some are given up: they come back without what they kept.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(4);

/// What speaks for a number of upstreams of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityNeed {
    /// Upstreams at the start.
    pub baseline: u32,
    /// Upstreams that will be busy at the most.
    pub peak_busy: f64,
    /// Greatest part of the upstreams that is in one failure domain: nearly all of it may be
    /// reclaimed.
    pub max_domain_share: f64,
    /// Whether demand was seen for too short a time to give anything up.
    pub is_history_short: bool,
    /// Upstreams that take work.
    pub ready: u32,
    /// Upstreams that are busy on average.
    pub average_busy: f64,
    /// Reading that waits before them, in milliseconds of an upstream.
    pub waiting_ms: f64,
}

/// How many upstreams of a service are wanted in all failure domains.
///
/// Grows at once, and shrinks in few steps.
#[derive(Debug, Default)]
pub struct CapacityTarget {
    bound: TargetBound,
    /// `None` before any upstream was seen.
    count: Option<u32>,
    /// Since when fewer are enough, and the most that were needed since.
    scale_down: Option<(Time, u32)>,
}

impl CapacityNeed {
    /// Upstreams that are needed, and what decides it.
    fn required_upstreams(&self) -> (u32, TargetBound) {
        let remaining_share = (1.0 - self.max_domain_share).max(f64::EPSILON);
        let for_peak = self.peak_busy / MAX_PEAK_UTILIZATION;
        let baseline = f64::from(self.baseline);
        let bounds = [
            (baseline * MIN_BASELINE_SHARE, TargetBound::Floor),
            (
                self.average_busy / MAX_AVERAGE_UTILIZATION,
                TargetBound::Burst,
            ),
            (for_peak, TargetBound::Busy),
            (
                self.peak_busy / MAX_UTILIZATION_AFTER_LOSS / remaining_share,
                TargetBound::Loss,
            ),
            (
                self.required_for_backlog(for_peak.max(baseline)),
                TargetBound::Waiting,
            ),
        ];
        let greatest = bounds
            .into_iter()
            .max_by(|(one, _), (other, _)| one.total_cmp(other));
        greatest.map_or((0, TargetBound::Floor), |(count, bound)| {
            (count.ceil() as u32, bound)
        })
    }

    /// Upstreams that waiting work asks for, `most` at the most.
    fn required_for_backlog(&self, limit: f64) -> f64 {
        let ready = f64::from(self.ready);
        let backlog_ratio = self.waiting_ms / (ready * MAX_PREFILL_WAIT_MS).max(1.0);
        if backlog_ratio <= 1.0 {
            return 0.0;
        }
        (ready * backlog_ratio.min(MAX_BACKLOG_GROWTH)).min(limit)
    }
}

impl CapacityTarget {
    /// Begins with a number that is there, or that an earlier holder wanted.
    pub fn set_initial(&mut self, count: u32) {
        self.count = Some(count);
    }

    /// What decides the number.
    pub const fn bound(&self) -> TargetBound {
        self.bound
    }

    /// The number; `None` before any upstream was seen.
    pub const fn count(&self) -> Option<u32> {
        self.count
    }

    /// Notes that demand is not known now: the number stays.
    pub fn note_demand_unknown(&mut self) {
        self.bound = TargetBound::Unknown;
        self.scale_down = None;
    }

    /// Sets the number by what is needed now; true if it changed.
    pub fn update(&mut self, now: Time, need: &CapacityNeed) -> bool {
        let (needed, bound) = need.required_upstreams();
        self.bound = bound;
        let Some(count) = self.count else {
            return self.set(needed);
        };
        if f64::from(needed) > f64::from(count) * (1.0 + SCALE_UP_MARGIN) {
            return self.set(needed);
        }
        // While some are missing the others have their work.
        let is_below_target = f64::from(need.ready) < f64::from(count) * (1.0 - SCALE_UP_MARGIN);
        if need.is_history_short
            || is_below_target
            || f64::from(needed) > f64::from(count) * SCALE_DOWN_RATIO
        {
            self.scale_down = None;
            return false;
        }
        let (since, max_needed) = self.scale_down.unwrap_or((now, needed));
        let max_needed = max_needed.max(needed);
        self.scale_down = Some((since, max_needed));
        now.since(since) >= SCALE_DOWN_DELAY && self.set(max_needed)
    }

    fn set(&mut self, count: u32) -> bool {
        self.scale_down = None;
        self.count.replace(count) != Some(count)
    }
}
