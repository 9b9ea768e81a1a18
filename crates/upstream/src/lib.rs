//! Adapters to model engines and plain services. Each failure carries a
//! verdict: whether the request may have run.

use {
    bytes::Bytes,
    eventsource_stream::{Event, EventStream, EventStreamError, Eventsource},
    futures::{FutureExt, StreamExt, stream::FuturesUnordered},
    http_body_util::{BodyDataStream, BodyExt, Full, Limited},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode,
        body::Incoming,
        client::conn::http1::{SendRequest, handshake},
    },
    hyper_util::rt::TokioIo,
    metrics::{Gauge, counter, gauge},
    socket2::{SockRef, TcpKeepalive},
    std::{
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, task::JoinSet, time::timeout},
    types::{Listening, prelude::*},
};

mod answer;
mod call;
mod call_failure;
mod connections;
mod destination;
mod engine;
mod event_stream;
mod kept;
mod listening;
mod opening;
mod opening_paths;
mod service;
mod stream_item;
mod transit;
mod upstream_sender;

pub use {
    answer::Answer,
    call::Call,
    call_failure::CallFailure,
    connections::{Connections, NO_CONNECTION},
    destination::Destination,
    engine::EngineAdapter,
    event_stream::TokenStream,
    kept::Kept,
    listening::check_listening,
    opening::Opening,
    service::ServiceAdapter,
    stream_item::StreamItem,
    upstream_sender::UpstreamSender,
};

use {
    connections::{CONNECT_TIMEOUT, open_stream},
    opening_paths::open_first,
    transit::connect_through,
};

/// Header by which an upstream tells that it did not run a request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Header that carries the attempt's id to the upstream.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Header that carries the priority to an engine, 0 the most urgent.
pub const PRIORITY_HEADER: &str = "x-request-priority";
