use super::*;

/// Time without any event after which the host must have stood still.
const MIN_STANDSTILL: Duration = Duration::from_millis(1_000);

/// Time for which a version that is no longer listed may still be in use: a host that lost the
/// store goes on with its old list.
const MIN_UNLISTED: Duration = Duration::from_secs(600);

/// When the software versions of each target were listed last, since when this host has seen every
/// change of the list, and when the list was confirmed.
#[derive(Debug, Default)]
pub(crate) struct ListedVersions {
    complete_since: Option<Time>,
    confirmed_at: Option<Time>,
    last_event: Option<Time>,
    last_listed: HashMap<Target, BTreeMap<Option<SoftwareVersion>, Time>>,
    received_at: Option<Time>,
}

impl ListedVersions {
    /// Records the versions of the upstreams that are listed until now.
    pub(crate) fn note_listed<'a>(
        &mut self,
        upstreams: impl Iterator<Item = &'a UpstreamState>,
        now: Time,
    ) {
        for state in upstreams {
            let version = state.definition.software_version();
            for target in pool::targets_of(&state.definition) {
                let versions = self.last_listed.entry(target).or_default();
                match versions.get_mut(&version.cloned()) {
                    Some(last_listed) => *last_listed = now,
                    None => {
                        versions.insert(version.cloned(), now);
                    }
                }
            }
        }
    }

    /// Records that this host handles an event. Changes of the list may have been missed if it
    /// stood still before.
    pub(crate) fn note_event(&mut self, now: Time) {
        let last = self.last_event.replace(now);
        if last.is_some_and(|last| now.since(last) >= MIN_STANDSTILL) {
            self.note_gap();
        }
    }

    /// Records that a list was received, which may be older.
    pub(crate) const fn note_received(&mut self, now: Time) {
        self.received_at = Some(now);
    }

    /// Records that the known list was still the newest one at a time.
    pub(crate) fn note_confirmed(&mut self, as_of: Time) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Whether the known list was still the newest one at some time after `start`.
    pub(crate) fn is_confirmed_after(&self, start: Time) -> bool {
        self.confirmed_at.is_some_and(|as_of| as_of >= start)
    }

    /// Time since a list was received or confirmed.
    pub(crate) fn age(&self, now: Time) -> Option<Duration> {
        let known_at = self.received_at.max(self.confirmed_at);
        known_at.map(|at| now.since(at))
    }

    /// Records that changes of the list are followed from now on, unless they were before.
    pub(crate) fn note_followed(&mut self, now: Time) {
        if self.received_at.is_some() {
            self.complete_since.get_or_insert(now);
        }
    }

    /// Records that changes of the list may have been missed until now.
    pub(crate) const fn note_gap(&mut self) {
        self.complete_since = None;
    }

    /// Whether a target's upstreams have all had this version for `lifetime`, if those listed now
    /// have it.
    pub(crate) fn is_sole_version(
        &self,
        target: &Target,
        version: Option<&SoftwareVersion>,
        lifetime: Duration,
        now: Time,
    ) -> bool {
        let is_complete = |since: Time| now.since(since) >= lifetime;
        let mut versions = self.last_listed.get(target).into_iter().flatten();
        self.complete_since.is_some_and(is_complete)
            && versions.all(|(listed, last_listed)| {
                listed.as_ref() == version
                    || now.since(*last_listed) >= time_in_use(listed.as_ref(), lifetime)
            })
    }

    /// Forgets versions that were listed last so long ago that no stream has them.
    pub(crate) fn expire(&mut self, lifetime: Duration, now: Time) {
        for versions in self.last_listed.values_mut() {
            versions.retain(|version, last_listed| {
                now.since(*last_listed) < time_in_use(version.as_ref(), lifetime)
            });
        }
    }
}

/// Time after which no stream has a version that is no longer listed. Upstreams that name no version
/// count as alike.
fn time_in_use(version: Option<&SoftwareVersion>, lifetime: Duration) -> Duration {
    version.map_or(lifetime, |_| lifetime.max(MIN_UNLISTED))
}
