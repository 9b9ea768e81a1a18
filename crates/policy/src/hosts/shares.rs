use super::*;

/// The shares of its domain's upstream groups that the coordinator has granted to this host.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    /// Shares by the name of the group.
    granted: BTreeMap<String, Share>,
    /// When the grants expire.
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

    /// Whether the grants are still valid. Without valid grants each host takes an equal share. If
    /// grants did not expire, a host that is cut off from the coordinator would keep slots that
    /// have been granted to other hosts since.
    pub(crate) fn are_valid(&self, now: Time) -> bool {
        now < self.valid_until
    }

    /// The granted share of a group. `None` if the coordinator granted none because its
    /// configuration, which is older or newer, does not have the group.
    pub(crate) fn get(&self, group: &str) -> Option<Share> {
        self.granted.get(group).copied()
    }
}
