//! Overload control: requests that this host refuses because the upstreams are full.
//!
//! Inputs are the arrivals, the attempts that upstreams refuse or begin to answer, and the
//! durations of requests. The result is whether one more request is sent, and when a refused caller
//! should retry.

use super::*;

mod admission_change;
mod admission_level;
mod class_admission;
mod congestion_control;
mod early_refusal;
mod expected_end;
mod pool_load;
mod recent_durations;
mod retry_schedule;
mod shedding;

pub use admission_change::AdmissionChange;

pub(crate) use {congestion_control::CongestionControl, early_refusal::EarlyRefusal};

use {
    admission_level::{AdmissionLevel, MIN_LEVEL},
    class_admission::ClassAdmission,
    expected_end::{ExpectedEnd, InFlightDurations},
    pool_load::PoolLoad,
    recent_durations::RecentDurations,
    retry_schedule::RetrySchedule,
};
