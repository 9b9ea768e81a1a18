//! Tests of the decisions of the hosts in an installation. They use no network and run in virtual
//! time.

#![allow(clippy::unwrap_used, missing_docs)]

mod attempts;
mod brittle_replicas;
mod crashes;
mod early_refusal;
mod engine_simulation;
mod fatal_parts;
mod fatal_parts_simulation;
mod faulty_replicas;
mod fleet;
mod host_costs;
mod incarnations;
mod load_notes;
mod newer_configuration;
mod notices;
mod overload;
mod pauses;
mod placement;
mod prompt_transfers;
mod reach;
mod refusals;
mod retries_of_many;
mod served_replica;
mod service_world;
mod speeds;
mod stream_separation;
mod stream_versions;
mod stream_versions_simulation;
mod support;
mod unreachable;
mod upstream_limits;
mod upstreams;
mod urgency;
mod usage;
