use super::*;

/// When the software versions of each target were listed last, since when this host has seen every
/// change of the list, and as of when the list is known.
#[derive(Debug, Default)]
pub(crate) struct ListedVersions {
    as_of: Option<Time>,
    complete_since: Option<Time>,
    last_listed: HashMap<Target, BTreeMap<Option<SoftwareVersion>, Time>>,
}

impl ListedVersions {
    /// Records the versions of the upstreams that are listed until now.
    pub(crate) fn note_listed<'a>(
        &mut self,
        upstreams: impl Iterator<Item = &'a UpstreamState>,
        now: Time,
    ) {
        self.complete_since.get_or_insert(now);
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

    /// Records that the list was the newest one at a time.
    pub(crate) fn note_current(&mut self, as_of: Time) {
        self.as_of = self.as_of.max(Some(as_of));
    }

    /// Time since the list was known to be the newest one.
    pub(crate) fn age(&self, now: Time) -> Option<Duration> {
        self.as_of.map(|as_of| now.since(as_of))
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
                listed.as_ref() == version || now.since(*last_listed) >= lifetime
            })
    }

    /// Forgets versions that were listed last longer ago than `lifetime`.
    pub(crate) fn expire(&mut self, lifetime: Duration, now: Time) {
        for versions in self.last_listed.values_mut() {
            versions.retain(|_, last_listed| now.since(*last_listed) < lifetime);
        }
    }
}
