use super::*;

/// What a host did under the lease of the duties that one host does for all.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyReport {
    /// The lease was lost, or given up.
    LeaseEnded {
        /// The token of the term.
        token: u64,
    },
    /// The lease was taken.
    LeaseTaken {
        /// The token of the term.
        token: u64,
    },
    /// Upstreams were ordered, or could not be.
    Ordered {
        /// How many there should be of the kind.
        count: u32,
        /// Where.
        domain: FailureDomainId,
        /// Whether they are of the kind that may be reclaimed.
        is_reclaimable: bool,
        /// What came of it.
        outcome: String,
        /// Those of both kinds that take work now.
        ready: u32,
        /// Of which service.
        service: ServiceId,
    },
    /// A window of usage was reported, or could not be.
    Usage {
        /// Hosts whose last counts are missing.
        missing_hosts: usize,
        /// What came of it.
        outcome: String,
        /// Requests in it, of all teams.
        requests: u64,
        /// The window.
        window: u64,
    },
}
