//! Clients for model engines and plain services. Each failure carries a verdict, which states
//! whether the request may have run.

use {
    bytes::Bytes,
    eventsource_stream::{Event, EventStream, EventStreamError, Eventsource},
    futures::{
        FutureExt, StreamExt,
        stream::{BoxStream, FuturesUnordered},
    },
    http_body_util::{BodyDataStream, BodyExt, Full, Limited},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode,
        body::Incoming,
        client::conn::http1::{SendRequest, handshake},
        ext::on_informational,
    },
    hyper_util::rt::TokioIo,
    metrics::{Gauge, counter, gauge},
    socket2::{SockRef, TcpKeepalive},
    std::{
        fmt::{self, Display, Formatter},
        io::{self, IoSlice},
        net::SocketAddr,
        pin::Pin,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, AtomicU64, AtomicUsize, Ordering},
        },
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take},
        net::TcpStream,
        sync::Notify,
        task::JoinSet,
        time::timeout,
    },
    types::{Listening, prelude::*},
};

mod call;
mod call_failure;
mod connection_id;
mod connection_pool;
mod destination;
mod engine;
mod event_limit;
mod interim_limit;
mod listening;
mod open_result;
mod path_race;
mod reuse_result;
mod service;
mod stream_item;
mod token_stream;
mod transit;
mod turn_limit;
mod upstream_response;
mod upstream_sender;

pub use {
    call::Call,
    call_failure::CallFailure,
    connection_id::ConnectionId,
    connection_pool::{ConnectionPool, NO_CONNECTION},
    destination::Destination,
    engine::EngineAdapter,
    listening::check_listening,
    open_result::OpenResult,
    reuse_result::ReuseResult,
    service::ServiceAdapter,
    stream_item::StreamItem,
    token_stream::TokenStream,
    turn_limit::TurnLimit,
    upstream_response::UpstreamResponse,
    upstream_sender::UpstreamSender,
};

use {
    connection_pool::{CONNECT_TIMEOUT, open_stream},
    event_limit::{EventBytes, EventLimit},
    interim_limit::InterimLimit,
    path_race::open_first,
    transit::connect_through,
};

/// Header by which an upstream states that it did not run a request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Header that carries the attempt id to the upstream.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";

/// Header that carries the priority of a request to an engine, 0 being the most urgent.
pub const PRIORITY_HEADER: &str = "x-request-priority";
