use super::*;

/// Number of tiers, counted from the most urgent, whose requests may exceed their host's share of
/// the slots where an engine has free slots.
pub(crate) const URGENT_TIERS: usize = 2;

/// Strict priority of a request: by tier, and within a tier paid plans before trial plans. It does
/// not change while the request waits. The derived order compares the fields by position.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    pub(crate) tier: Tier,
    pub(crate) plan: Plan,
}

impl Rank {
    /// The most urgent rank.
    pub(crate) const MOST_URGENT: Self = Self::new(Tier::MOST_URGENT, Plan::Paid);

    /// Number of ranks.
    pub(crate) const COUNT: usize = 2 * Tier::COUNT;

    pub(crate) const fn new(tier: Tier, plan: Plan) -> Self {
        Self { tier, plan }
    }

    /// Returns all ranks, most urgent first.
    pub(crate) fn all() -> impl DoubleEndedIterator<Item = Self> {
        Tier::all().flat_map(|tier| [Plan::Paid, Plan::Trial].map(|plan| Self::new(tier, plan)))
    }

    /// Whether requests of this rank may exceed their host's share of the slots where an engine has
    /// free slots.
    pub(crate) const fn is_urgent(self) -> bool {
        self.tier.index() < URGENT_TIERS
    }

    pub(crate) const fn index(self) -> usize {
        2 * self.tier.index() + matches!(self.plan, Plan::Trial) as usize
    }
}
