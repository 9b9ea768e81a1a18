use super::*;

/// What a host did under the lease for the duties that one host does for all hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum DutyReport {
    /// Current and desired number of upstreams of a service.
    Demand {
        /// Number of upstreams that are busy now.
        busy: f64,
        /// Highest number of upstreams that are expected to be busy.
        busiest: f64,
        /// The service.
        service: ServiceId,
        /// Desired number of upstreams by failure domain.
        wanted: Vec<(FailureDomainId, u32)>,
    },
    /// The lease was lost or released.
    LeaseEnded {
        /// The fencing token of the lease.
        token: u64,
    },
    /// The lease was acquired.
    LeaseTaken {
        /// The fencing token of the lease.
        token: u64,
    },
    /// Upstreams were ordered, or the order failed.
    UpstreamsOrdered {
        /// What determines the desired number of upstreams of the service.
        bound: String,
        /// Number of upstreams of the service that are busy now.
        busy: f64,
        /// Highest number of upstreams that are expected to be busy.
        busiest: f64,
        /// Desired number of upstreams of the ordered kind.
        count: u32,
        /// The failure domain of the order.
        domain: FailureDomainId,
        /// Whether the order is for upstreams that the platform may reclaim.
        is_reclaimable: bool,
        /// Result of the order.
        outcome: String,
        /// Number of upstreams of both kinds that accept requests now.
        ready: u32,
        /// The service of the order.
        service: ServiceId,
    },
    /// The prices by failure domain became usable or unusable. Prices that are missing or
    /// implausible are treated as equal.
    PricesChecked {
        /// Whether the prices are usable.
        are_usable: bool,
        /// The service.
        service: ServiceId,
    },
    /// The store was restored from an older copy, and the rows of the duties were written to it
    /// again.
    RowsWrittenAgain {
        /// Number of usage reports among the rows.
        reports: usize,
        /// The fencing token under which the holder goes on.
        token: u64,
    },
    /// A usage window was reported, or the report failed.
    Usage {
        /// Number of hosts whose last counts are missing.
        missing_hosts: usize,
        /// Result of the report.
        outcome: String,
        /// Number of requests in the window, of all teams.
        requests: u64,
        /// Number of the window.
        window: u64,
    },
}
