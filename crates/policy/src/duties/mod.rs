//! Duties that one host at a time performs for all hosts: holding the lease, counting the requests
//! of each team by window, and planning how many upstreams there should be.
//!
//! Input: responses of the store, counts and work of the hosts, and the listed upstreams. Output:
//! writes of the lease, whether the holder may act, usage reports, and orders for upstreams. This
//! module does no I/O; its caller connects to the store and the platform.

use super::*;

mod capacity_plan;
mod capacity_target;
mod demand_forecast;
mod demand_ledger;
mod domain_prices;
mod lease;
mod lease_record;
mod median_clock;
mod observed_demand;
mod reporting;
mod service_demand;
mod start_time;
mod target_bound;
mod usage_counts;
mod usage_ledger;
mod work_counts;

pub use {
    capacity_plan::{CapacityOrder, CapacityPlan, PoolCapacity},
    capacity_target::{CapacityNeed, CapacityTarget},
    demand_forecast::DemandForecast,
    demand_ledger::DemandLedger,
    domain_prices::DomainPrices,
    lease::{Lease, LeaseStep},
    lease_record::{FencingToken, LeaseRecord, StoredLease},
    median_clock::MedianClock,
    observed_demand::ObservedDemand,
    service_demand::DemandView,
    start_time::StartTime,
    target_bound::TargetBound,
    usage_ledger::{UsageLedger, UsageReport, WindowRules},
};

pub(crate) use {reporting::Reporting, usage_counts::UsageCounts, work_counts::WorkCounts};

use service_demand::ServiceDemand;
