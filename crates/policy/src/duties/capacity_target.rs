use super::*;

/// Greatest share of the upstreams that may be busy on average. A burst of 2.5 times the average
/// load is then served without a noticeable delay.
const MAX_AVERAGE_UTILIZATION: f64 = 0.3;

/// Greatest share of the upstreams that may be busy at the peak. A prompt then waits no longer than
/// its own prefill takes.
const MAX_PEAK_UTILIZATION: f64 = 0.5;

/// Greatest share of the upstreams that may be busy at the peak after a failure domain has lost its
/// reclaimable upstreams. Urgent requests are then served first and stay in time, and other
/// requests wait.
const MAX_UTILIZATION_AFTER_LOSS: f64 = 0.8;

/// Share of the target that must remain after the loss of a domain's reclaimable upstreams. If
/// fewer remain, regular ones are ordered.
pub(super) const MIN_SHARE_AFTER_LOSS: f64 = MAX_PEAK_UTILIZATION / MAX_UTILIZATION_AFTER_LOSS;

/// Share of the baseline that is kept however low the demand is. Released upstreams lose their
/// prompt caches.
const MIN_BASELINE_SHARE: f64 = 0.25;

/// Average prefill time that may wait at an upstream, in milliseconds. Interactive requests must
/// begin within half a second.
const MAX_PREFILL_WAIT_MS: f64 = 300.0;

/// Greatest factor by which waiting work raises the target above the upstreams that are ready. The
/// work may be stuck at unhealthy upstreams, and additional upstreams do not help there.
const MAX_BACKLOG_GROWTH: f64 = 1.5;

/// Fraction of the target by which the need must exceed the target before more upstreams are
/// ordered, and by which the ready upstreams must fall short of the target to count as missing.
/// Each order is a call, so small differences are ignored.
const SCALE_UP_MARGIN: f64 = 0.1;

/// Upstreams are released only while the need is at most this fraction of the target.
const SCALE_DOWN_RATIO: f64 = 0.75;

/// Time for which the need must stay within [`SCALE_DOWN_RATIO`] before upstreams are released.
/// Released upstreams that are ordered again start with empty prompt caches.
const SCALE_DOWN_DELAY: Duration = Duration::from_secs(4);

/// Measurements that determine how many upstreams a service needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityNeed {
    /// Upstreams that were present at the start.
    pub baseline: u32,
    /// Greatest number of upstreams that are expected to be busy.
    pub peak_busy: f64,
    /// Greatest share of the upstreams in one failure domain. Nearly all of that share may be
    /// reclaimed at once.
    pub max_domain_share: f64,
    /// Whether demand was observed for too short a time to release upstreams.
    pub is_history_short: bool,
    /// Upstreams that accept requests.
    pub ready: u32,
    /// Upstreams that are busy on average.
    pub average_busy: f64,
    /// Prefill work that waits at the upstreams, in milliseconds of one upstream.
    pub waiting_ms: f64,
}

/// Target number of upstreams of a service in all failure domains together.
///
/// The target grows immediately and shrinks in few steps.
#[derive(Debug, Default)]
pub struct CapacityTarget {
    bound: TargetBound,
    /// Current target; `None` until an initial or computed target is set.
    count: Option<u32>,
    /// Since when fewer upstreams suffice, and the greatest need since then.
    scale_down: Option<(Time, u32)>,
}

impl CapacityNeed {
    /// Number of upstreams that are needed, and the bound that determines the number.
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

    /// Upstreams needed to process the waiting prefill work, at most `limit`.
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
    /// Sets the initial target, from the upstreams that are planned or from the target of an
    /// earlier lease holder.
    pub fn set_initial(&mut self, count: u32) {
        self.count = Some(count);
    }

    /// Bound that determines the target.
    pub const fn bound(&self) -> TargetBound {
        self.bound
    }

    /// Current target; `None` until an initial or computed target is set.
    pub const fn count(&self) -> Option<u32> {
        self.count
    }

    /// Records that demand is currently unknown. The target stays the same.
    pub fn note_demand_unknown(&mut self) {
        self.bound = TargetBound::Unknown;
        self.scale_down = None;
    }

    /// Updates the target to the current need. Returns true if the target changed.
    pub fn update(&mut self, now: Time, need: &CapacityNeed) -> bool {
        let (needed, bound) = need.required_upstreams();
        self.bound = bound;
        let Some(count) = self.count else {
            return self.set(needed);
        };
        if f64::from(needed) > f64::from(count) * (1.0 + SCALE_UP_MARGIN) {
            return self.set(needed);
        }
        // While upstreams are missing, the remaining ones do the work of all, so none are released.
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
