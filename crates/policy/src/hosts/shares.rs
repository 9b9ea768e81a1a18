use super::*;

/// This host's shares of its domain's groups of upstreams.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    granted: BTreeMap<String, Share>,
    /// Until when the grants hold.
    valid_until: Time,
}

impl Shares {
    pub(crate) fn grant(&mut self, grants: Vec<Grant>, valid_until: Time) {
        self.granted = grants
            .into_iter()
            .map(|grant| {
                let share = Share {
                    first: grant.first,
                    headroom: grant.headroom,
                    slots: grant.slots,
                };
                (grant.group, share)
            })
            .collect();
        self.valid_until = valid_until;
    }

    /// Whether grants hold. Without them each host takes an equal part: what
    /// goes wrong otherwise is that a host without news keeps slots that were
    /// given to others since.
    pub(crate) fn are_valid(&self, now: Time) -> bool {
        now < self.valid_until
    }

    /// The granted share of a group; `None` for one that the coordinator did not
    /// name, since its configuration is older or newer.
    pub(crate) fn get(&self, group: &str) -> Option<Share> {
        self.granted.get(group).copied()
    }
}
