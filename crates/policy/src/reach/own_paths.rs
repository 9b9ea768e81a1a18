use super::*;

/// Number of lost paths to upstreams of a target from which all upstreams of the target count as
/// unreachable. If the target has fewer upstreams, the paths to all of them must be lost.
const MIN_LOST_PATHS: usize = 2;

/// Time between two checks of whether a lost path is restored.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What a host knows about its own, direct paths to upstreams.
#[derive(Debug, Default)]
pub(crate) struct OwnPaths {
    /// Targets for which no upstream can be reached directly.
    cut_off: BTreeSet<Target>,
    /// When an upstream of each target last connected or answered over a direct path.
    last_direct: HashMap<Target, Time>,
    lost: BTreeMap<UpstreamId, LostPath>,
    next_check: Time,
}

impl OwnPaths {
    /// Whether the direct path to an upstream that serves the targets is open, as far as is known.
    pub(crate) fn is_open(&self, upstream: &UpstreamId, targets: &[Target]) -> bool {
        !self.lost.contains_key(upstream)
            && !targets.iter().any(|target| self.cut_off.contains(target))
    }

    /// Whether no path is known to be lost.
    pub(crate) fn all_open(&self) -> bool {
        self.lost.is_empty()
    }

    /// Targets for which no upstream can be reached directly.
    pub(crate) const fn cut_off(&self) -> &BTreeSet<Target> {
        &self.cut_off
    }

    /// Upstreams to which the direct path is lost.
    pub(crate) fn lost(&self) -> impl Iterator<Item = &UpstreamId> {
        self.lost.keys()
    }

    /// Records that an upstream connected or answered over a direct path. If a target of the
    /// upstream was cut off, the paths to all upstreams of the target count as open again. The next
    /// request to each of these upstreams shows whether its path is open.
    pub(crate) fn note_direct(&mut self, upstream: &UpstreamId, targets: &[Target], now: Time) {
        for target in targets {
            match self.last_direct.get_mut(target) {
                Some(observed) => *observed = now,
                None => {
                    self.last_direct.insert(target.clone(), now);
                }
            }
            if self.cut_off.remove(target) {
                self.lost.retain(|_, path| !path.targets.contains(target));
            }
        }
        self.lost.remove(upstream);
    }

    /// Records that another host connected to an upstream while this host could not. `targets` has
    /// the number of upstreams for each target that the upstream serves.
    pub(crate) fn note_lost(
        &mut self,
        upstream: &UpstreamId,
        targets: Vec<(Target, usize)>,
        now: Time,
    ) {
        let path = LostPath {
            checked_at: now,
            observed_at: now,
            targets: targets.iter().map(|(target, _)| target.clone()).collect(),
        };
        self.lost.insert(upstream.clone(), path);
        for (target, copies) in targets {
            if self.lost_since_direct(&target) >= MIN_LOST_PATHS.min(copies) {
                self.cut_off.insert(target);
            }
        }
    }

    /// Records that a lost path was checked and is still lost.
    pub(crate) fn note_still_lost(&mut self, upstream: &UpstreamId, now: Time) {
        if let Some(path) = self.lost.get_mut(upstream) {
            path.observed_at = now;
        }
    }

    /// If a check is due, returns the upstream whose lost path was checked longest ago, and records
    /// the check.
    pub(crate) fn take_due_check(&mut self, now: Time) -> Option<UpstreamId> {
        if now < self.next_check {
            return None;
        }
        let paths = self.lost.iter_mut();
        let (upstream, path) = paths.min_by_key(|(_, path)| path.checked_at)?;
        path.checked_at = now;
        self.next_check = now + CHECK_INTERVAL;
        Some(upstream.clone())
    }

    /// Drops upstreams that no longer exist, and targets that have no lost path left.
    pub(crate) fn retain_known(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.lost.retain(|upstream, _| is_known(upstream));
        let lost = &self.lost;
        self.cut_off.retain(|target| {
            let mut paths = lost.values();
            paths.any(|path| path.targets.contains(target))
        });
    }

    /// Number of lost paths to upstreams of a target that were observed lost since the last success
    /// over a direct path to the target.
    fn lost_since_direct(&self, target: &Target) -> usize {
        let last_direct = self.last_direct.get(target).copied().unwrap_or_default();
        let paths = self.lost.values();
        let lost =
            paths.filter(|path| path.targets.contains(target) && path.observed_at > last_direct);
        lost.count()
    }
}
