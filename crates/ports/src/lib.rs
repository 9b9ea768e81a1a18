//! Interfaces between a host and an installation: how requests and responses are represented on the
//! wire, and how the configuration and the upstreams are read. An installation implements these
//! traits. The implementations make no routing decisions.

use {
    bytes::Bytes,
    config::{Upstream, VersionedDocument},
    flate2::{Compression, read::GzDecoder, write::GzEncoder},
    hyper::{HeaderMap, StatusCode, http::request::Parts},
    nix::time::{ClockId, clock_gettime},
    peer::{Coverage, Crash, DutyNote, PeerHost, ServiceDivision, TableUpdate, UsageNote},
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Display, Formatter},
        io::{Read, Write},
        net::SocketAddr,
        pin::Pin,
        sync::{Arc, atomic::AtomicBool},
        time::Duration,
    },
    types::prelude::*,
};

mod clock;
mod connection_use;
mod directory;
mod directory_update;
mod duty_report;
mod forwarding_context;
mod head_error;
mod header_number;
mod mismatch;
mod named_attempt;
mod protocol;
mod read_stats;
mod received_configuration;
mod request_head;
mod response_class;
mod shared_table;
mod shared_table_update;
mod source_document;

pub use {
    clock::Clock,
    connection_use::ConnectionUse,
    directory::{Directory, DirectoryChannels},
    directory_update::DirectoryUpdate,
    duty_report::DutyReport,
    forwarding_context::ForwardingContext,
    head_error::HeadError,
    header_number::header_number,
    mismatch::Mismatch,
    named_attempt::NamedAttempt,
    protocol::Protocol,
    read_stats::ReadStats,
    received_configuration::ReceivedConfiguration,
    request_head::RequestHead,
    response_class::ResponseClass,
    shared_table::SharedTable,
    shared_table_update::{SharedTableUpdate, TableSource},
    source_document::SourceDocument,
};
