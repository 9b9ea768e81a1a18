use super::*;

/// Bits of a fencing token below those of the store's era.
const ERA_SHIFT: u32 = 32;

/// Number that is greater for each later holder of a lease.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// The token as upstream interfaces take it.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The token of the next holder. The store's era is in its upper bits: a store that came
    /// back from an older copy would give a number out again otherwise.
    #[must_use]
    pub fn next(self, era: u32) -> Self {
        let first_of_era = u64::from(era) << ERA_SHIFT;
        Self(self.0.max(first_of_era) + 1)
    }
}

impl Display for FencingToken {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The lease as it lies in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The holder.
    pub host: HostId,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// The last other holders before this one, the latest first.
    pub previous: Vec<HostId>,
    /// Whether the holder gave it up, and does nothing under it any more.
    pub released: bool,
    /// The holder's token.
    pub token: FencingToken,
}

/// The lease with the store's version of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredLease {
    /// What is written there.
    pub record: LeaseRecord,
    /// Version that a conditional write names.
    pub version: u64,
}
