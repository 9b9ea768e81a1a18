//! Tests, without a network, of the duties that the lease holder does for all hosts: the lease
//! itself, the usage reports and the number of upstreams.

#![allow(missing_docs, clippy::unwrap_used)]

mod capacity;
mod demand;
mod lease;
mod ledger;
mod simulated_service;
mod usage;
