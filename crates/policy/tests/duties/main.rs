//! Duties that one host at a time does for all: the lease, the usage reports and the number
//! of upstreams, without a network.

#![allow(missing_docs, clippy::unwrap_used)]

mod capacity;
mod demand;
mod lease;
mod ledger;
mod simulated_service;
mod usage;
