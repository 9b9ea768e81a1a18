/// A host's share of a group: a range of the line of its slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Share {
    pub(crate) first: u32,
    /// Slots of the group that are on nobody's range.
    pub(crate) headroom: u32,
    pub(crate) slots: u32,
}

impl Share {
    /// The part of a line of `slots` that falls to one of `hosts` hosts when
    /// all get the same; at least one slot, so that no host is cut off.
    pub(crate) fn equal(slots: u32, hosts: u32, index: u32) -> Self {
        let hosts = hosts.max(1);
        let first = slots * index / hosts;
        let end = slots * (index + 1) / hosts;
        Self {
            first: first.min(slots.saturating_sub(1)),
            headroom: 0,
            slots: (end - first).max(1),
        }
    }

    /// How many of its slots lie on a part of the line.
    pub(crate) fn overlap(self, first: u32, slots: u32) -> u32 {
        let end = (self.first + self.slots).min(first + slots);
        end.saturating_sub(self.first.max(first))
    }
}
