use super::*;

/// Tiers that may go beyond their host's share where an engine is free.
pub(crate) const URGENT_TIERS: usize = 2;

/// The strict order between requests: by tier, and within a tier paid before
/// trial. Time spent waiting never changes it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    pub(crate) tier: Tier,
    pub(crate) plan: Plan,
}

impl Rank {
    /// How many ranks there are.
    pub(crate) const COUNT: usize = 2 * Tier::COUNT;

    pub(crate) const fn new(tier: Tier, plan: Plan) -> Self {
        Self { tier, plan }
    }

    /// Every rank, most urgent first.
    pub(crate) fn all() -> impl DoubleEndedIterator<Item = Self> {
        Tier::all().flat_map(|tier| [Plan::Paid, Plan::Trial].map(|plan| Self::new(tier, plan)))
    }

    /// Whether it may go beyond its host's share where an engine is free.
    pub(crate) const fn is_urgent(self) -> bool {
        self.tier.index() < URGENT_TIERS
    }

    pub(crate) const fn index(self) -> usize {
        2 * self.tier.index() + matches!(self.plan, Plan::Trial) as usize
    }
}
