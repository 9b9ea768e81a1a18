//! Requests that are refused at this host because the upstreams are full of others.
//!
//! In: what came, what upstreams refused and began, and how long that took. Out: whether one more
//! request is sent, and when its caller comes back if it is not.

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
