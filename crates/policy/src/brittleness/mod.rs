//! Protection of brittle upstreams, which fail if they have to reject more than a certain number of
//! requests per second.
//!
//! The inputs are the limits that upstreams report in their responses, and the rejections seen by
//! this host and other hosts. The output is whether a request may be sent to such an upstream. Each
//! host has guaranteed slots that it may use regardless of the other hosts. The guaranteed slots of
//! all hosts add up to the slots of the upstream, so requests within them are not rejected. A host
//! uses further slots only while a share of all slots is free and no request was rejected recently.
//! No host sends to an upstream that has rejected half as many requests as it can handle.

use super::*;

#[expect(clippy::module_inception)]
mod brittleness;
mod brittleness_change;
mod brittleness_updates;
mod slot_division;
mod time_slice;

pub use brittleness_change::BrittlenessChange;

pub(crate) use brittleness::Brittleness;

use time_slice::TimeSlice;
