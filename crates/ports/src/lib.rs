//! What a host needs from an installation, in the product's own words: how
//! requests and answers look on the wire, and where the configuration and the
//! upstreams are read. An installation implements these traits; no decision is
//! made behind them.

use {
    config::{Numbered, Upstream},
    hyper::{HeaderMap, StatusCode, http::request::Parts},
    nix::time::{ClockId, clock_gettime},
    peer::PeerHost,
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt::{self, Display, Formatter},
        pin::Pin,
        sync::Arc,
        time::Duration,
    },
    types::prelude::*,
};

mod clock;
mod directory;
mod directory_update;
mod head_error;
mod judgement;
mod passing;
mod protocol;
mod reading;
mod request_head;

pub use {
    clock::Clock, directory::Directory, directory_update::DirectoryUpdate, head_error::HeadError,
    judgement::Judgement, passing::Passing, protocol::Protocol, reading::Reading,
    request_head::RequestHead,
};
