//! Graceful stop of this host: which requests are still sent.
//!
//! Inputs are the time at which the stop ends and the durations of recent requests. A request that
//! is not expected to end before that is refused, so that its caller retries it at another host.
//! Attempts that are still running at the end are abandoned, so that their callers get a response.

use super::*;

mod drain;
mod drain_handling;
mod usual_duration;

pub(crate) use drain::Drain;

use usual_duration::UsualDuration;
