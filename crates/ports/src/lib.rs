//! What a host needs from an installation, in the product's own words: how
//! requests and answers look on the wire, and where the configuration and the
//! upstreams are read. An installation implements these traits; no decision is
//! made behind them.

use {
    bytes::Bytes,
    config::{Numbered, Upstream},
    flate2::{Compression, read::GzDecoder, write::GzEncoder},
    hyper::{HeaderMap, StatusCode, http::request::Parts},
    nix::time::{ClockId, clock_gettime},
    peer::{Coverage, Crash, DividedPlace, DutyNote, PeerHost, TableNews, UsageNote},
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
mod directory;
mod directory_update;
mod duty_report;
mod head_error;
mod header_number;
mod judgement;
mod offer;
mod passing;
mod protocol;
mod reading;
mod request_head;
mod shared_table;
mod source_document;
mod table_reading;

pub use {
    clock::Clock,
    directory::{Directory, DirectoryChannels},
    directory_update::DirectoryUpdate,
    duty_report::DutyReport,
    head_error::HeadError,
    header_number::header_number,
    judgement::Judgement,
    offer::Offer,
    passing::Passing,
    protocol::Protocol,
    reading::Reading,
    request_head::RequestHead,
    shared_table::SharedTable,
    source_document::SourceDocument,
    table_reading::{TableReading, TableSource},
};
