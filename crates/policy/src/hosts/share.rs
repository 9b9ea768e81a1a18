/// A host's share of an upstream group: a range of the group's slots. The slots are numbered
/// through all upstreams of the group in the order of the upstreams' ids, without the headroom.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Share {
    /// Number of the first slot in the range.
    pub(crate) first: u32,
    /// Slots of the group that are in no host's range.
    pub(crate) headroom: u32,
    /// Length of the range.
    pub(crate) slots: u32,
}

impl Share {
    /// The share of the host at position `index` if `slots` slots are divided equally among `hosts`
    /// hosts. It has at least one slot, so that every host can use the group.
    pub(crate) fn equal(slots: u32, hosts: u32, index: u32) -> Self {
        let hosts = hosts.max(1);
        let part_end = |parts: u32| {
            let end = u64::from(slots) * u64::from(parts) / u64::from(hosts);
            u32::try_from(end).unwrap_or(u32::MAX)
        };
        let (first, end) = (part_end(index), part_end(index.saturating_add(1)));
        Self {
            first: first.min(slots.saturating_sub(1)),
            headroom: 0,
            slots: (end - first).max(1),
        }
    }

    /// Number of slots of this share in the range of `slots` slots that starts at `first`.
    pub(crate) fn overlap(self, first: u32, slots: u32) -> u32 {
        let own_end = self.first.saturating_add(self.slots);
        let end = own_end.min(first.saturating_add(slots));
        end.saturating_sub(self.first.max(first))
    }
}
