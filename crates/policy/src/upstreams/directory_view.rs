use super::*;

/// Time after the directory's return during which a missing upstream's entry may merely have
/// expired. The installation guarantees that running upstreams are listed again within about two
/// seconds.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_000);

/// The upstreams that the directory lists, protected against an outage of the directory.
///
/// During an outage upstreams cannot renew their entries, so all entries expire. The first list
/// after the outage is empty, and without protection every request would be refused although all
/// upstreams are healthy. A missing upstream is therefore kept for a short time after the
/// directory's return. At any other time a missing upstream is removed at once.
///
/// A host cannot tell an outage of the directory from a fault on its own path to the directory. An
/// outage lets most entries of a target expire. Where most upstreams of a target are still listed
/// and not leaving, the missing ones have left and are removed.
#[derive(Debug, Default)]
pub(crate) struct DirectoryView {
    /// Listed upstreams that are leaving.
    leaving: BTreeSet<UpstreamId>,
    /// Upstreams that are kept although they are missing from the list, and the time until which
    /// they are kept.
    missing: BTreeMap<UpstreamId, Time>,
    /// Whether the directory does not answer.
    lost: bool,
    /// When the directory last answered again after an outage.
    regained_at: Option<Time>,
    /// Listed upstreams, and missing ones that are kept.
    upstreams: BTreeMap<UpstreamId, Upstream>,
}

impl DirectoryView {
    /// All upstreams in use: listed ones, and missing ones that are kept.
    pub(crate) const fn upstreams(&self) -> &BTreeMap<UpstreamId, Upstream> {
        &self.upstreams
    }

    /// Whether the directory answers, as far as this host knows.
    pub(crate) const fn is_reachable(&self) -> bool {
        !self.lost
    }

    /// Whether the directory lists an upstream.
    pub(crate) fn lists(&self, upstream: &UpstreamId) -> bool {
        self.upstreams.contains_key(upstream) && !self.missing.contains_key(upstream)
    }

    /// Upstreams that are used although the directory does not list them.
    pub(crate) fn missing(&self) -> impl Iterator<Item = &UpstreamId> {
        self.missing.keys()
    }

    /// Listed upstreams that are leaving.
    pub(crate) fn leaving(&self) -> BTreeSet<UpstreamId> {
        self.leaving.clone()
    }

    /// Records that the directory does not answer.
    pub(crate) const fn note_lost(&mut self) {
        self.lost = true;
    }

    /// Records that the directory has answered again since `at`.
    pub(crate) const fn note_regained(&mut self, at: Time) {
        if self.lost {
            self.regained_at = Some(at);
        }
        self.lost = false;
    }

    /// Records that the directory was available all along and only this host's path to it changed.
    /// No grace period starts, so an upstream whose entry was removed gets no further requests.
    pub(crate) const fn note_reachable_again(&mut self) {
        self.lost = false;
    }

    /// Replaces the list with a complete one that was just read.
    pub(crate) fn update(
        &mut self,
        leaving: BTreeSet<UpstreamId>,
        upstreams: BTreeMap<UpstreamId, Upstream>,
        now: Time,
    ) {
        let known = std::mem::replace(&mut self.upstreams, upstreams);
        self.missing
            .retain(|id, _| !self.upstreams.contains_key(id));
        let before = std::mem::replace(&mut self.leaving, leaving);
        if let Some(until) = self.grace_until(now) {
            // Upstreams that were listed as leaving have left.
            let stayed = known.into_iter().filter(|(id, _)| !before.contains(id));
            self.keep_expired(stayed, until);
        }
    }

    /// Keeps known upstreams that are missing now if their entries may merely have expired.
    fn keep_expired(&mut self, known: impl Iterator<Item = (UpstreamId, Upstream)>, until: Time) {
        let missing = known.filter(|(id, _)| !self.upstreams.contains_key(id));
        let missing = missing.filter(|(id, _)| !self.is_replaced(id));
        let missing: Vec<(UpstreamId, Upstream)> = missing.collect();
        let listed = self.upstreams.iter();
        let staying = listed.filter(|(id, _)| !self.leaving.contains(*id));
        let census = TargetCensus::of(
            staying.map(|(_, definition)| definition),
            missing.iter().map(|(_, definition)| definition),
        );
        for (id, definition) in missing {
            if self.missing.contains_key(&id) || census.is_mostly_missing(&definition) {
                self.missing.entry(id.clone()).or_insert(until);
                self.upstreams.insert(id, definition);
            }
        }
    }

    /// Removes missing upstreams whose grace period has ended. Returns whether there were any.
    pub(crate) fn expire(&mut self, now: Time) -> bool {
        let before = self.missing.len();
        let upstreams = &mut self.upstreams;
        self.missing.retain(|id, until| {
            let keep = now < *until;
            if !keep {
                upstreams.remove(id);
            }
            keep
        });
        self.missing.len() != before
    }

    /// Whether a newer incarnation of an upstream is listed. Ids are ordered by name, then by start
    /// time, so a newer incarnation directly follows the given one.
    fn is_replaced(&self, id: &UpstreamId) -> bool {
        let mut later = self
            .upstreams
            .range((Bound::Excluded(id), Bound::Unbounded));
        later
            .next()
            .is_some_and(|(listed, _)| id.is_replaced_by(listed))
    }

    /// End of the current grace period; `None` outside of one.
    fn grace_until(&self, now: Time) -> Option<Time> {
        let until = self.regained_at? + EXPIRY_GRACE;
        (now < until).then_some(until)
    }
}
