//! The decisions of a host in an installation, without a network.

#![allow(clippy::unwrap_used, missing_docs)]

mod attempts;
mod costs;
mod crashes;
mod early_refusal;
mod engine_world;
mod fleet;
mod incarnations;
mod knowledge;
mod named_limits;
mod newer_configuration;
mod notices;
mod overload;
mod pauses;
mod placement;
mod prompt_transfers;
mod reach;
mod reach_world;
mod refusals;
mod retries_of_many;
mod sick;
mod sides;
mod speeds;
mod support;
mod unreachable;
mod upstreams;
mod urgency;
mod usage;
