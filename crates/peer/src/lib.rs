//! The protocol between hosts.
//!
//! A host sends a heartbeat to the coordinator of its failure domain, with its state and its
//! demand. The coordinator answers with the host's shares and with what it knows itself. The hosts
//! of an installation also send each other notes, which are single datagrams without
//! acknowledgement, for example about their load. Hosts request the configuration and the store's
//! tables from each other over HTTP.
//!
//! Each host computes the coordinator for itself, so hosts may disagree about it. No guarantee of
//! the router depends on these messages.

use {
    flate2::{Compression, read::GzDecoder, write::GzEncoder},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    sha2::{Digest, Sha256},
    std::{
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
        io::{Read, Write},
        net::SocketAddr,
        str::FromStr,
    },
    subtle::ConstantTimeEq,
    types::prelude::*,
};

mod coverage;
mod crash_note;
mod datagram;
mod demand;
mod duty_note;
mod engine_key;
mod grant;
mod heartbeat;
mod heartbeat_answer;
pub mod http_api;
mod limit_note;
mod load_note;
mod message_error;
mod model_work;
mod peer_host;
mod peer_phase;
mod prefill_token_time;
mod reachability;
#[cfg(feature = "rpc")]
mod rpc;
mod service_division;
mod speed_vote;
mod stream_note;
mod table_row;
mod tables_request;
mod tables_response;
mod token_grant;
mod token_request;
mod upstream_note;
mod usage_note;
mod version_note;

pub use {
    coverage::Coverage,
    crash_note::{Cleared, Crash, CrashNote, MAX_CRASHES},
    demand::Demand,
    duty_note::DutyNote,
    engine_key::EngineKey,
    grant::Grant,
    heartbeat::Heartbeat,
    heartbeat_answer::HeartbeatAnswer,
    limit_note::LimitNote,
    load_note::{Echo, LoadNote, PromptRead, UpstreamLoad},
    message_error::MessageError,
    model_work::ModelWork,
    peer_host::PeerHost,
    peer_phase::PeerPhase,
    prefill_token_time::PrefillTokenTime,
    reachability::Reachability,
    service_division::ServiceDivision,
    speed_vote::{MAX_VOTES, SpeedVote},
    stream_note::{StreamMessage, StreamNote, StreamVersion},
    table_row::TableRow,
    tables_request::TablesRequest,
    tables_response::{TableUpdate, TablesResponse},
    token_grant::{ExpectedWait, TokenGrant},
    token_request::{MAX_WANTED, TokenRequest, WantedTokens},
    upstream_note::{MAX_LEAVING, MAX_LIMITS, UpstreamNote},
    usage_note::{MAX_COUNTS, MAX_MODELS, UsageNote, WindowCounts},
    version_note::VersionNote,
};

#[cfg(feature = "rpc")]
pub use rpc::{PeerClient, PeerHandler, PeerServer};

/// Version of the protocol. A host also accepts the next version, and older versions from
/// [`OLDEST_PROTOCOL`] on.
pub const PROTOCOL: u32 = 1;

/// Oldest version that a host accepts.
pub const OLDEST_PROTOCOL: u32 = 1;

/// Maximum number of targets or groups in one message. A failure domain serves far fewer.
pub const MAX_TARGETS: usize = 256;

/// Maximum number of cached prompt parts in one note, so that the note still fits into one packet.
pub const MAX_READS: usize = 16;

/// Maximum number of upstreams in one message.
pub const MAX_UPSTREAMS: usize = 1_024;
