//! Reachability of upstreams: which upstreams this host can connect to directly, and through which
//! other hosts it reaches the rest.
//!
//! A host can lose its network paths to upstreams while callers still reach it. Without transit
//! through other hosts, it would try each request at one upstream after another, could not connect
//! to any, and would serve no caller, although every other host reaches the same upstreams. This
//! shows as `connect` being the cause of all failed attempts of a few hosts. A path counts as lost
//! only if another host connects to the upstream at the same time, which distinguishes a lost path
//! from an upstream that is down.

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
