//! Requests that are refused at this host because the upstreams are full of others.
//!
//! In: what came, what upstreams refused and began. Out: whether one more of the least
//! urgent class is sent.

use super::*;

mod congestion;
mod shedding;

pub(crate) use congestion::Congestion;
