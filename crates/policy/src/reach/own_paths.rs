use super::*;

/// Upstreams of a target to which the paths must be lost for all of its upstreams to count as out
/// of reach; all of them where there are fewer.
const MIN_LOST_PATHS: usize = 2;

/// Time between two checks of whether a lost path is restored.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// What a host knows of its own paths to upstreams.
#[derive(Debug, Default)]
pub(crate) struct OwnPaths {
    /// Targets none of whose upstreams it reaches.
    cut_off: BTreeSet<Target>,
    /// When an upstream of each target was last observed over a path of its own.
    last_direct: HashMap<Target, Time>,
    lost: BTreeMap<UpstreamId, LostPath>,
    next_check: Time,
}

impl OwnPaths {
    /// Whether a path of its own leads to an upstream that serves a target, as far as is known.
    pub(crate) fn is_open(&self, upstream: &UpstreamId, targets: &[Target]) -> bool {
        !self.lost.contains_key(upstream)
            && !targets.iter().any(|target| self.cut_off.contains(target))
    }

    /// Whether any path is known to be lost.
    pub(crate) fn all_open(&self) -> bool {
        self.lost.is_empty()
    }

    /// Targets none of whose upstreams are reached.
    pub(crate) const fn cut_off(&self) -> &BTreeSet<Target> {
        &self.cut_off
    }

    /// Upstreams to which the paths were found lost.
    pub(crate) fn lost(&self) -> impl Iterator<Item = &UpstreamId> {
        self.lost.keys()
    }

    /// Notes that an upstream was observed over a path of its own. Where all of a target's
    /// upstreams were out of reach, none is taken to be any more: the next request to each finds
    /// out.
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

    /// Notes that another host connected to an upstream while this one could not. `copies` counts
    /// the upstreams of each of its targets.
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

    /// Notes that a lost path was still not open.
    pub(crate) fn note_still_lost(&mut self, upstream: &UpstreamId, now: Time) {
        if let Some(path) = self.lost.get_mut(upstream) {
            path.observed_at = now;
        }
    }

    /// The path to be checked now, if one is due: the one that was checked longest ago.
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

    /// Forgets upstreams that are gone.
    pub(crate) fn retain_known(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.lost.retain(|upstream, _| is_known(upstream));
        let lost = &self.lost;
        self.cut_off.retain(|target| {
            let mut paths = lost.values();
            paths.any(|path| path.targets.contains(target))
        });
    }

    fn lost_since_direct(&self, target: &Target) -> usize {
        let last_direct = self.last_direct.get(target).copied().unwrap_or_default();
        let paths = self.lost.values();
        let lost =
            paths.filter(|path| path.targets.contains(target) && path.observed_at > last_direct);
        lost.count()
    }
}
