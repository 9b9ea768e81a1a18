use super::*;

/// Points of a crash under a request that may have begun just then, and under one whose
/// answer had begun, or the like of which had lately run to its end.
const STRONG_POINTS: u32 = 2;
const WEAK_POINTS: u32 = 1;

/// Points from which a request is barred: three upstreams that may have ended as it began
/// to run. Fewer may be chance: a request that comes again after a crash meets a second
/// one in a storm of them.
const BAR_POINTS: u32 = 3 * STRONG_POINTS;

/// Crashes of one request from which they are kept in the store. One alone is what any
/// crash leaves of all that ran there, and would be a call of each host.
const MIN_CRASHES_TO_STORE: usize = 2;

/// Time after the last crash for which the request is barred. After it one try shows
/// whether the upstreams bear it now.
const BAR_DURATION: Duration = Duration::from_secs(600);

/// Time after which a crash is forgotten.
pub(crate) const RETENTION: Duration = Duration::from_secs(3_600);

/// Most requests that are kept: all that were on forty engines of a hundred slots. Some
/// 300 bytes each.
const MAX_REQUESTS: usize = 4_096;

/// Most crashes that are kept of one request.
const MAX_CRASHES: usize = 32;

/// The end of an upstream under a request.
#[derive(Clone, Copy, Debug)]
struct RecordedCrash {
    at: Time,
    /// Whether this host saw it, and has not had it kept.
    needs_storing: bool,
    points: u32,
}

/// The ends under one request.
#[derive(Debug, Default)]
struct RequestCrashes(BTreeMap<UpstreamId, RecordedCrash>);

impl RequestCrashes {
    fn points(&self) -> u32 {
        self.0.values().map(|crash| crash.points).sum()
    }

    fn last(&self) -> Option<Time> {
        self.0.values().map(|crash| crash.at).max()
    }

    /// Takes an end; true if it was not known. Where the request was there twice, the
    /// stronger sign counts.
    fn add(&mut self, crash: &ObservedCrash, is_own: bool) -> bool {
        let points = if crash.is_weak {
            WEAK_POINTS
        } else {
            STRONG_POINTS
        };
        if let Some(known) = self.0.get_mut(&crash.upstream) {
            known.points = known.points.max(points);
            return false;
        }
        if self.0.len() >= MAX_CRASHES {
            let oldest = self.0.iter().min_by_key(|(_, crash)| crash.at);
            let oldest = oldest.map(|(upstream, _)| upstream.clone());
            oldest.and_then(|upstream| self.0.remove(&upstream));
        }
        let recorded = RecordedCrash {
            at: crash.at,
            // One that says little is not worth a call.
            needs_storing: is_own && !crash.is_weak,
            points,
        };
        self.0.insert(crash.upstream.clone(), recorded);
        true
    }
}

/// Which upstreams ended under which requests.
///
/// What goes wrong without it: a request that crashes each upstream comes again as a new
/// one, at any host, and each time takes an upstream with all that runs there. Attempts and
/// retries are counted by request, and nothing joins those of different requests. One would
/// notice upstreams that end one after the other, faster than they come back.
///
/// Crashes are counted by upstream, whose id is new with each start. So the sum is the same
/// however often, and by however many hosts, one of them is announced.
///
/// An upstream that ends takes innocent requests along, and one that comes again at once
/// may meet the guilty one on the next upstream, too. Each end needs one explanation: the
/// request with most points is taken for guilty first, and what ended under it counts
/// against no other.
#[derive(Debug, Default)]
pub(crate) struct CrashRecord {
    /// The guilty ones, and when an upstream last ended under them.
    barred: HashMap<Fingerprint, Time>,
    requests: HashMap<Fingerprint, RequestCrashes>,
}

impl CrashRecord {
    /// Takes a crash; the number of this request's crashes, if it was not known.
    pub(crate) fn note(&mut self, crash: &ObservedCrash, is_own: bool) -> Option<usize> {
        if !self.requests.contains_key(&crash.fingerprint) && self.requests.len() >= MAX_REQUESTS {
            self.evict_weakest();
        }
        let crashes = self.requests.entry(crash.fingerprint).or_default();
        let is_new = crashes.add(crash, is_own);
        let crash_count = crashes.0.len();
        self.update_barred();
        is_new.then_some(crash_count)
    }

    /// Own crashes of a request that are to be kept in the store, each is given once; the
    /// first one, too, if other hosts learn of it by the store only.
    pub(crate) fn take_unstored(
        &mut self,
        fingerprint: &Fingerprint,
        stores_first: bool,
    ) -> Vec<ObservedCrash> {
        let min_crashes = if stores_first {
            1
        } else {
            MIN_CRASHES_TO_STORE
        };
        let crashes = self.requests.get_mut(fingerprint);
        let Some(crashes) = crashes.filter(|crashes| crashes.0.len() >= min_crashes) else {
            return Vec::new();
        };
        let unstored = crashes
            .0
            .iter_mut()
            .filter(|(_, crash)| crash.needs_storing);
        let unstored = unstored.map(|(upstream, crash)| {
            crash.needs_storing = false;
            ObservedCrash {
                at: crash.at,
                fingerprint: *fingerprint,
                is_weak: false,
                upstream: upstream.clone(),
            }
        });
        unstored.collect()
    }

    pub(crate) fn barred_for(&self, fingerprint: &Fingerprint, now: Time) -> Option<Duration> {
        let last = self.barred.get(fingerprint)?;
        let left = BAR_DURATION.saturating_sub(now.since(*last));
        (!left.is_zero()).then_some(left)
    }

    /// The request ran to its end at a moment.
    pub(crate) fn clear(&mut self, fingerprint: &Fingerprint, at: Time) {
        if let Some(crashes) = self.requests.get_mut(fingerprint) {
            crashes.0.retain(|_, crash| crash.at > at);
            self.drop_empty();
        }
    }

    /// The upstream has not ended after all.
    pub(crate) fn withdraw(&mut self, upstream: &UpstreamId) {
        for crashes in self.requests.values_mut() {
            crashes.0.remove(upstream);
        }
        self.drop_empty();
    }

    pub(crate) fn forget(&mut self, now: Time) {
        for crashes in self.requests.values_mut() {
            crashes.0.retain(|_, crash| now.since(crash.at) < RETENTION);
        }
        self.drop_empty();
    }

    fn drop_empty(&mut self) {
        self.requests.retain(|_, crashes| !crashes.0.is_empty());
        self.update_barred();
    }

    /// Drops the request with the fewest points, of those the one whose last crash is the
    /// longest ago: a flood of different requests cannot push a barred one out.
    fn evict_weakest(&mut self) {
        let requests = self.requests.iter();
        let weakest = requests.min_by_key(|(_, crashes)| (crashes.points(), crashes.last()));
        if let Some(fingerprint) = weakest.map(|(fingerprint, _)| *fingerprint) {
            self.requests.remove(&fingerprint);
        }
    }

    /// Works out who is guilty, the same on all hosts that know the same crashes.
    fn update_barred(&mut self) {
        self.barred.clear();
        let requests = self.requests.iter();
        let mut candidates: Vec<(&Fingerprint, &RequestCrashes)> = requests
            .filter(|(_, crashes)| crashes.points() >= BAR_POINTS)
            .collect();
        candidates.sort_by_key(|(fingerprint, crashes)| (Reverse(crashes.points()), **fingerprint));
        let mut explained: BTreeSet<&UpstreamId> = BTreeSet::new();
        for (fingerprint, crashes) in candidates {
            let unexplained = crashes.0.iter();
            let unexplained = unexplained.filter(|(upstream, _)| !explained.contains(upstream));
            let points: u32 = unexplained.map(|(_, crash)| crash.points).sum();
            if let (BAR_POINTS.., Some(last)) = (points, crashes.last()) {
                self.barred.insert(*fingerprint, last);
                explained.extend(crashes.0.keys());
            }
        }
    }
}
