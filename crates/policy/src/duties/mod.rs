//! Duties that one host at a time does for all: who holds their lease, how many requests of
//! each team began in a window, and how many upstreams there should be.
//!
//! In: answers of the store, counts of the hosts, upstreams that are listed. Out: writes of
//! the lease, whether the holder may act, reports, orders. No I/O; the calls are made by
//! whoever speaks to the installation.

use super::*;

mod capacity_plan;
mod lease;
mod lease_record;
mod reporting;
mod true_time;
mod usage_counts;
mod usage_ledger;

pub use {
    capacity_plan::{CapacityOrder, CapacityPlan, PoolCapacity},
    lease::{Lease, LeaseStep},
    lease_record::{FencingToken, LeaseRecord, StoredLease},
    true_time::TrueTime,
    usage_ledger::{UsageLedger, UsageReport, WindowRules},
};

pub(crate) use {reporting::Reporting, usage_counts::UsageCounts};
