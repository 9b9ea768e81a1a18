use super::*;

/// Points of a crash. A crash counts as strong if the request may just have started, and as weak if
/// the response had begun or a request with the same subject had recently completed.
const STRONG_POINTS: u32 = 2;
const WEAK_POINTS: u32 = 1;

/// Points at which a subject is barred: three upstreams that may have ended just as the request
/// started. Fewer crashes can be chance, because a request that is retried after a crash is likely
/// to meet a second one while many upstreams crash.
const BAR_POINTS: u32 = 3 * STRONG_POINTS;

/// Number of crashes of a request from which they are stored. Every crash leaves one recorded crash
/// for each request that ran on the upstream, and storing those would cost a store call on each
/// host.
const MIN_CRASHES_TO_STORE: usize = 2;

/// The same for a prompt part. Harmless requests have several of these in common with those that
/// crash upstreams, so they are not stored before they may be barred.
const MIN_PART_CRASHES_TO_STORE: usize = 3;

/// Time after the last crash for which the request is barred. A single try after it shows whether
/// the upstreams can now run the request.
const BAR_DURATION: Duration = Duration::from_secs(600);

/// Time for which a crash is kept.
pub(crate) const RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum number of subjects kept: as many as requests run on 40 engines with 100 slots each. A
/// subject takes some 300 bytes.
const MAX_SUBJECTS: usize = 4_096;

/// Maximum number of crashes kept for a subject.
const MAX_CRASHES: usize = 32;

/// A crash of an upstream while it ran a request.
#[derive(Clone, Copy, Debug)]
struct RecordedCrash {
    at: Time,
    /// Whether this host observed the crash and has not stored it yet.
    needs_storing: bool,
    points: u32,
}

/// The crashes recorded for one subject, by upstream.
#[derive(Debug, Default)]
struct SubjectCrashes(BTreeMap<UpstreamId, RecordedCrash>);

impl SubjectCrashes {
    fn points(&self) -> u32 {
        self.0.values().map(|crash| crash.points).sum()
    }

    fn last(&self) -> Option<Time> {
        self.0.values().map(|crash| crash.at).max()
    }

    /// Adds a crash and returns whether it was unknown before. If the request ran on the upstream
    /// more than once, the higher points count.
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
            // A weak crash is not worth a store call.
            needs_storing: is_own && !crash.is_weak,
            points,
        };
        self.0.insert(crash.upstream.clone(), recorded);
        true
    }
}

/// Records which upstreams crashed while they ran requests with which subjects.
///
/// A request that crashes every upstream comes back as a new request, at any host, and each time
/// takes down an upstream with everything that runs there. Attempts and retries are counted per
/// request and don't connect these requests. Without this record, upstreams would end one after
/// another, faster than they restart. The requests may be identical, or have only one part of
/// their prompts in common.
///
/// Crashes are counted by upstream id, which is new with each start of an upstream. The sum is
/// therefore the same however often, and by however many hosts, a crash is announced.
///
/// A crashing upstream also ends unrelated requests, and such a request may meet the harmful one
/// again on its next upstream if it is retried at once. Each crash therefore needs only one
/// explanation: the subject with the most points is barred first, and its crashes don't count
/// against any other subject. Of a request and a part with equal points the request is barred, which
/// affects fewer requests.
#[derive(Debug, Default)]
pub(crate) struct CrashRecord {
    /// Barred subjects, with the time of the latest crash under each.
    barred: HashMap<CrashSubject, Time>,
    subjects: HashMap<CrashSubject, SubjectCrashes>,
}

impl CrashRecord {
    /// Records a crash. Returns the number of crashes of its subject if the crash was unknown
    /// before.
    pub(crate) fn note(&mut self, crash: &ObservedCrash, is_own: bool) -> Option<usize> {
        if !self.subjects.contains_key(&crash.subject) && self.subjects.len() >= MAX_SUBJECTS {
            self.evict_weakest();
        }
        let crashes = self.subjects.entry(crash.subject).or_default();
        let is_new = crashes.add(crash, is_own);
        let crash_count = crashes.0.len();
        self.update_barred();
        is_new.then_some(crash_count)
    }

    /// Returns the crashes of a subject that this host observed and must store. Each crash is
    /// returned only once. With `stores_first`, crashes are stored one earlier, which is needed if
    /// other hosts learn of them only from the store.
    pub(crate) fn take_unstored(
        &mut self,
        subject: &CrashSubject,
        stores_first: bool,
    ) -> Vec<ObservedCrash> {
        let min_crashes = match subject {
            CrashSubject::PromptPart(_) => MIN_PART_CRASHES_TO_STORE,
            CrashSubject::Request(_) => MIN_CRASHES_TO_STORE,
        };
        let min_crashes = min_crashes - usize::from(stores_first);
        let crashes = self.subjects.get_mut(subject);
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
                is_weak: false,
                subject: *subject,
                upstream: upstream.clone(),
            }
        });
        unstored.collect()
    }

    pub(crate) fn barred_for(&self, subject: &CrashSubject, now: Time) -> Option<Duration> {
        let last = self.barred.get(subject)?;
        let left = BAR_DURATION.saturating_sub(now.since(*last));
        (!left.is_zero()).then_some(left)
    }

    /// Removes the crashes of a subject up to the time at which a request with it completed.
    pub(crate) fn clear(&mut self, subject: &CrashSubject, at: Time) {
        if let Some(crashes) = self.subjects.get_mut(subject) {
            crashes.0.retain(|_, crash| crash.at > at);
            self.drop_empty();
        }
    }

    /// Removes the crashes of an upstream that turned out not to have ended.
    pub(crate) fn withdraw(&mut self, upstream: &UpstreamId) {
        for crashes in self.subjects.values_mut() {
            crashes.0.remove(upstream);
        }
        self.drop_empty();
    }

    pub(crate) fn forget(&mut self, now: Time) {
        for crashes in self.subjects.values_mut() {
            crashes.0.retain(|_, crash| now.since(crash.at) < RETENTION);
        }
        self.drop_empty();
    }

    fn drop_empty(&mut self) {
        self.subjects.retain(|_, crashes| !crashes.0.is_empty());
        self.update_barred();
    }

    /// Removes the subject with the fewest points and, among equals, the one with the oldest latest
    /// crash. A flood of different requests can therefore not displace a barred one.
    fn evict_weakest(&mut self) {
        let subjects = self.subjects.iter();
        let weakest = subjects.min_by_key(|(_, crashes)| (crashes.points(), crashes.last()));
        if let Some(subject) = weakest.map(|(subject, _)| *subject) {
            self.subjects.remove(&subject);
        }
    }

    /// Determines which subjects are barred. All hosts that know the same crashes get the same
    /// result.
    fn update_barred(&mut self) {
        self.barred.clear();
        let subjects = self.subjects.iter();
        let mut candidates: Vec<(&CrashSubject, &SubjectCrashes)> = subjects
            .filter(|(_, crashes)| crashes.points() >= BAR_POINTS)
            .collect();
        candidates.sort_by_key(|(subject, crashes)| (Reverse(crashes.points()), **subject));
        let mut explained: BTreeSet<&UpstreamId> = BTreeSet::new();
        for (subject, crashes) in candidates {
            let unexplained = crashes.0.iter();
            let unexplained = unexplained.filter(|(upstream, _)| !explained.contains(upstream));
            let points: u32 = unexplained.map(|(_, crash)| crash.points).sum();
            if let (BAR_POINTS.., Some(last)) = (points, crashes.last()) {
                self.barred.insert(*subject, last);
                explained.extend(crashes.0.keys());
            }
        }
    }
}
