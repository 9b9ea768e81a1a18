use super::*;

/// This host's shares of its domain's upstreams.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    granted: BTreeMap<UpstreamId, u32>,
    /// Until when the grants hold.
    until: Time,
}

impl Shares {
    pub(crate) fn grant(&mut self, grants: Vec<Grant>, until: Time) {
        self.granted = grants
            .into_iter()
            .map(|grant| (grant.upstream, grant.slots))
            .collect();
        self.until = until;
    }

    /// Whether grants hold. Without them each host takes an equal part: what
    /// goes wrong otherwise is that a host without news keeps slots that were
    /// given to others since.
    pub(crate) fn hold(&self, now: Time) -> bool {
        now < self.until
    }

    /// The granted slots of one upstream; one that the steward does not know
    /// yet has none.
    pub(crate) fn of(&self, upstream: &UpstreamId) -> u32 {
        self.granted.get(upstream).copied().unwrap_or(0)
    }
}
