//! Upstreams that fall over when they have to reject more than so many requests a second.
//!
//! In: what they say of it in their answers, and rejections, this host's own and other hosts'. Out:
//! to which of them a request has room to go. Each host has a part of the slots that it may use
//! whatever others do; the parts of all hosts together are the slots, so requests within them are
//! not rejected. Beyond its part a host goes only while a share of the slots is free and nothing was
//! rejected lately. After half of the rejections that an upstream bears, no host sends there.

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
