use super::*;

/// Time after the directory's return for which an upstream that is missing
/// from it may only have lapsed. The installation promises the return of the
/// living ones within about two seconds.
const EXPIRY_GRACE: Duration = Duration::from_millis(2_000);

/// What the directory says of the upstreams.
///
/// What goes wrong without a memory of missing ones: while the directory is
/// away, upstreams cannot renew their entries and all lapse; the first reading
/// after its return lists none, and every request is refused although all
/// upstreams are well. So for a short while after its return a missing
/// upstream is kept; at any other time one that is missing is gone at once.
///
/// A host cannot tell an outage of the directory from a fault on its own way there. An outage
/// lets most entries of a target lapse, so where most are listed and stay the missing ones have
/// left.
#[derive(Debug, Default)]
pub(crate) struct DirectoryView {
    leaving: BTreeSet<UpstreamId>,
    /// Missing ones that may only have lapsed, and until when that is believed.
    missing: BTreeMap<UpstreamId, Time>,
    /// Whether it gives no answer now.
    lost: bool,
    /// When it answered again, after it had been lost.
    regained_at: Option<Time>,
    upstreams: BTreeMap<UpstreamId, Upstream>,
}

impl DirectoryView {
    /// All upstreams, those included that may only have lapsed.
    pub(crate) const fn upstreams(&self) -> &BTreeMap<UpstreamId, Upstream> {
        &self.upstreams
    }

    /// Whether the directory answers, as far as is known.
    pub(crate) const fn is_reachable(&self) -> bool {
        !self.lost
    }

    /// Whether the directory lists an upstream.
    pub(crate) fn lists(&self, upstream: &UpstreamId) -> bool {
        self.upstreams.contains_key(upstream) && !self.missing.contains_key(upstream)
    }

    /// Upstreams that are used though they are not listed.
    pub(crate) fn missing(&self) -> impl Iterator<Item = &UpstreamId> {
        self.missing.keys()
    }

    /// Upstreams that are leaving.
    pub(crate) fn leaving(&self) -> BTreeSet<UpstreamId> {
        self.leaving.clone()
    }

    /// Notes that the directory gives no answer.
    pub(crate) const fn note_lost(&mut self) {
        self.lost = true;
    }

    /// Notes that the directory answers again since a moment.
    pub(crate) const fn note_regained(&mut self, at: Time) {
        if self.lost {
            self.regained_at = Some(at);
        }
        self.lost = false;
    }

    /// Notes that the directory never was away: a missing upstream is gone at once.
    ///
    /// Guards against requests to an upstream whose entry was removed, where only the way by
    /// which this host reaches the directory had changed.
    pub(crate) const fn note_reachable_again(&mut self) {
        self.lost = false;
    }

    /// Takes a whole reading.
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
            // One that said that it leaves has left.
            let stayed = known.into_iter().filter(|(id, _)| !before.contains(id));
            self.keep_expired(stayed, until);
        }
    }

    /// Keeps upstreams that were known and are missing now, if their entries may only have lapsed.
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

    /// Drops missing upstreams that have not come back; true if there was one.
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

    /// Whether a newer incarnation of an upstream is listed: ids are in the order of names
    /// and then of starts, so it would follow.
    fn is_replaced(&self, id: &UpstreamId) -> bool {
        let mut later = self
            .upstreams
            .range((Bound::Excluded(id), Bound::Unbounded));
        later
            .next()
            .is_some_and(|(listed, _)| id.is_replaced_by(listed))
    }

    fn grace_until(&self, now: Time) -> Option<Time> {
        let until = self.regained_at? + EXPIRY_GRACE;
        (now < until).then_some(until)
    }
}
