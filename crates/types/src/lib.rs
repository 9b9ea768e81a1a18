//! Types that all packages of rhubarbcove share: ids, sizes, rates, tiers and the verdict. This
//! package does no I/O and makes no routing decisions.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        ops::{Add, Sub},
        str::FromStr,
        time::Duration,
    },
};

#[macro_use]
mod macros;

mod advertised_backoff;
mod advertised_limit;
mod attempt_id;
mod bandwidth;
mod byte_size;
mod class_id;
mod collections;
mod config_version;
mod crash_subject;
mod failure_cause;
mod failure_domain_id;
mod fencing_number;
mod fingerprint;
mod host_id;
mod idempotency_key;
mod incarnation;
mod key_hash;
mod listening;
mod load_report;
mod model_id;
mod parse_id_error;
mod parse_value_error;
mod path;
mod path_attempt;
mod path_outcome;
pub mod prelude;
mod prompt_part;
mod prompt_part_key;
mod rate;
mod rendezvous;
mod request_id;
mod route_id;
mod service_id;
mod software_version;
mod store_era;
mod store_position;
mod stream_id;
mod team_id;
mod tier;
mod time;
mod tokens;
mod upstream_id;
mod upstream_notice;
mod verdict;

pub use {
    advertised_backoff::AdvertisedBackoff, advertised_limit::AdvertisedLimit,
    attempt_id::AttemptId, bandwidth::Bandwidth, byte_size::ByteSize, class_id::ClassId,
    collections::HashMap, collections::HashSet, config_version::ConfigVersion,
    crash_subject::CrashSubject, failure_cause::FailureCause, failure_domain_id::FailureDomainId,
    fencing_number::FencingNumber, fingerprint::Fingerprint, host_id::HostId,
    idempotency_key::IdempotencyKey, incarnation::Incarnation, key_hash::KeyHash,
    listening::Listening, load_report::LoadReport, model_id::ModelId, parse_id_error::ParseIdError,
    parse_value_error::ParseValueError, path::Path, path_attempt::PathAttempt,
    path_outcome::PathOutcome, prompt_part::PromptPart, prompt_part_key::PromptPartKey, rate::Rate,
    rendezvous::rendezvous_weight, request_id::RequestId, route_id::RouteId, service_id::ServiceId,
    software_version::SoftwareVersion, store_era::StoreEra, store_position::StorePosition,
    stream_id::StreamId, team_id::TeamId, tier::Tier, time::Time, tokens::Tokens,
    upstream_id::UpstreamId, upstream_notice::UpstreamNotice, verdict::Verdict,
};
