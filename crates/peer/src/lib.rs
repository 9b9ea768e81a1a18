//! The protocol between hosts. There are two exchanges. A host tells the coordinator
//! of its failure domain that it lives and what it could use (heartbeat), and
//! the coordinator answers with the host's shares and with what it has received. In an
//! installation, hosts tell each other their load by datagrams (notes). The
//! coordinator is a hint that each host computes for itself; nothing here is needed
//! for a promise to hold.

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
mod divided_place;
mod duty_note;
mod engine_key;
mod grant;
pub mod handing;
mod heartbeat;
mod heartbeat_answer;
mod load_note;
mod message_error;
mod model_work;
mod named_limit;
mod peer_host;
mod peer_phase;
mod reach_note;
mod read_pace;
#[cfg(feature = "rpc")]
mod rpc;
mod speed_vote;
mod table_news;
mod table_row;
mod tables_question;
mod token_ask;
mod token_grant;
mod upstream_note;
mod usage_note;
mod version_note;

pub use {
    coverage::Coverage,
    crash_note::{Cleared, Crash, CrashNote, MAX_CRASHES},
    demand::Demand,
    divided_place::DividedPlace,
    duty_note::DutyNote,
    engine_key::EngineKey,
    grant::Grant,
    heartbeat::Heartbeat,
    heartbeat_answer::HeartbeatAnswer,
    load_note::{Echo, LoadNote, PromptRead, UpstreamLoad},
    message_error::MessageError,
    model_work::ModelWork,
    named_limit::NamedLimit,
    peer_host::PeerHost,
    peer_phase::PeerPhase,
    reach_note::ReachNote,
    read_pace::ReadPace,
    speed_vote::{MAX_VOTES, SpeedVote},
    table_news::{TableNews, TablesNews},
    table_row::TableRow,
    tables_question::TablesQuestion,
    token_ask::{MAX_WANTED, TokenAsk, WantedTokens},
    token_grant::{ExpectedWait, TokenGrant},
    upstream_note::{MAX_LEAVING, MAX_LIMITS, UpstreamNote},
    usage_note::{MAX_COUNTS, MAX_MODELS, UsageNote, WindowCounts},
    version_note::VersionNote,
};

#[cfg(feature = "rpc")]
pub use rpc::{PeerClient, PeerHandler, PeerServer};

/// Version of the protocol. A host answers the version before its own too.
pub const PROTOCOL: u32 = 1;

/// Oldest version that is answered.
pub const OLDEST_PROTOCOL: u32 = 1;

/// Most targets or groups in one message; a domain serves far fewer.
pub const MAX_TARGETS: usize = 256;

/// Most shared parts in one note: with them it still fits into one packet.
pub const MAX_READS: usize = 16;

/// Most upstreams in one message.
pub const MAX_UPSTREAMS: usize = 1_024;
