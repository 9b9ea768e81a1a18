use super::*;

/// Position of the store's era in a fencing token, above the counter.
const ERA_SHIFT: u32 = 32;

/// Fencing token, which is greater for each later holder of a lease.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// The token as a number, as upstream interfaces take it.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Token of the next holder. The era of the store is in the upper bits, because a store that
    /// was restored from an older copy would otherwise issue a token again.
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

/// The lease as stored.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Host that holds the lease.
    pub host: HostId,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
    /// Other hosts that held the lease before, the latest first.
    pub previous: Vec<HostId>,
    /// Whether the holder has released the lease and does nothing under it any more.
    pub released: bool,
    /// Fencing token of the holder.
    pub token: FencingToken,
}

/// A stored lease and its version in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredLease {
    /// Stored record.
    pub record: LeaseRecord,
    /// Version that a conditional write expects.
    pub version: u64,
}
