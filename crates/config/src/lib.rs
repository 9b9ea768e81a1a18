//! Settings of one host (TOML) and the shared, versioned configuration that the platform stores
//! (JSON): document, patch and validation.

use {
    json_patch::Patch as JsonPatch,
    serde::{Deserialize, Deserializer, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        ops::RangeInclusive,
    },
    types::{ParseIdError, prelude::*},
};

mod caller_limits;
mod class;
mod config_error;
mod document;
mod duty_settings;
mod engine;
mod limits;
mod patch;
mod plan;
mod relay_settings;
mod route;
mod routes;
mod scheduling;
mod service;
mod service_replica;
mod settings;
mod settings_error;
mod team;
mod trial_rules;
mod upstream;
mod validation;
mod versioned_document;
mod weighted_service;
mod whole_number;

pub use {
    caller_limits::CallerLimits, class::Class, config_error::ConfigError, document::Document,
    duty_settings::DutySettings, engine::Engine, limits::Limits, patch::Patch, plan::Plan,
    relay_settings::RelaySettings, route::Route, routes::Routes, scheduling::Scheduling,
    service::Service, service_replica::ServiceReplica, settings::Settings,
    settings_error::SettingsError, team::Team, trial_rules::TrialRules, upstream::Upstream,
    validation::PROMPT_TOKEN_BYTES_RANGE, versioned_document::VersionedDocument,
    weighted_service::WeightedService,
};
