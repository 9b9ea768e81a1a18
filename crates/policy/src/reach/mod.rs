//! Which upstreams this host reaches by itself, and the other hosts through which it reaches the
//! rest.
//!
//! What goes wrong without it: a host loses its paths to the upstreams while callers still reach
//! it. Each request is tried at one upstream after the other, by connections that cannot be made,
//! and nobody is served there although every other host reaches the same upstreams. One would
//! notice `connect` as the cause of all failed attempts of a few hosts. That another host connects
//! to an upstream at the same moment tells a lost path from an upstream that has ended.

use super::*;

mod lost_path;
mod own_paths;
mod path_change;
mod path_checks;
mod stalled_attempts;
mod transit;
mod transit_hosts;

pub use path_change::PathChange;

pub(crate) use {lost_path::LostPath, own_paths::OwnPaths, transit_hosts::TransitHosts};
