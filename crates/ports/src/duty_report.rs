use super::*;

/// What a host did under the lease of the duties that one host does for all.
#[derive(Clone, Debug, PartialEq)]
pub enum DutyReport {
    /// How many upstreams of a service are busy and wanted.
    Demand {
        /// Those that are busy now.
        busy: f64,
        /// Those that will be busy at the most.
        busiest: f64,
        /// The service.
        service: ServiceId,
        /// Those that are wanted, by failure domain.
        wanted: Vec<(FailureDomainId, u32)>,
    },
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
    UpstreamsOrdered {
        /// What decides how many are wanted of the service.
        bound: String,
        /// Upstreams of the service that are busy now.
        busy: f64,
        /// Those that will be busy at the most.
        busiest: f64,
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
    /// Prices by failure domain are missing or absurd, and count as equal; or they can be used
    /// again.
    PricesChecked {
        /// Whether they can be used.
        are_usable: bool,
        /// The service.
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
