//! State of the upstreams, and selection among them.

use super::*;

mod affinity;
mod baseline_speed;
mod choice;
mod directory_view;
mod ejection;
mod engine_partition;
mod engine_speed;
mod engine_speeds;
mod group;
mod health;
mod in_flight_history;
mod long_prompt_detector;
pub(crate) mod placement;
mod placement_request;
pub(crate) mod pool;
mod prefill_time;
pub(crate) mod prompt_cache;
mod rendezvous;
mod silent_domains;
mod speed_change;
mod speed_sample;
mod speed_samples;
mod speed_step;
mod speed_votes;
mod target_census;
mod track_record;
mod upstream_census;
mod upstream_state;
mod version_bound;
mod working_set;

pub use {
    engine_speeds::SpeedCounts, speed_change::SpeedChange, upstream_census::UpstreamCensus,
    working_set::WorkingSet,
};

pub(crate) use {
    affinity::Affinity,
    baseline_speed::BaselineSpeed,
    directory_view::DirectoryView,
    engine_partition::EnginePartition,
    engine_speed::EngineSpeed,
    group::Group,
    health::Health,
    in_flight_history::InFlightHistory,
    long_prompt_detector::LongPromptDetector,
    placement_request::PlacementRequest,
    pool::Pool,
    prompt_cache::PromptCache,
    rendezvous::Preference,
    silent_domains::SilentDomains,
    speed_sample::SpeedSample,
    speed_samples::SpeedSamples,
    speed_step::SpeedStep,
    speed_votes::SpeedVotes,
    target_census::TargetCensus,
    track_record::{BaselineRecord, TrackRecord},
    upstream_census::ServiceDomain,
    upstream_state::UpstreamState,
    version_bound::VersionBound,
};
