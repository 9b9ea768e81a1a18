//! Small stand-ins for the systems that rhubarbcove connects to: model engines,
//! plain services and the platform. Tests and experiments inject faults into a
//! stand-in, either in the same process or with `POST /standin/faults`.

use {
    bytes::Bytes,
    futures::{future::BoxFuture, stream},
    http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        Method, Request, Response, StatusCode,
        body::{Frame, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::{Value, json},
    std::{
        collections::{BTreeMap, VecDeque},
        convert::Infallible,
        io,
        net::SocketAddr,
        ops::Range,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    store::{
        HostList, ListedHost, ListedState, ListedUpstream, Row, TableBatch, TableOperation,
        TableRead, TableResult, TableResults, TableRows,
    },
    tokio::{
        net::TcpListener,
        sync::{Notify, oneshot, watch},
        task::JoinSet,
        time::{Instant, sleep, sleep_until},
    },
    types::prelude::*,
    upstream::{ATTEMPT_HEADER, NOT_RUN_HEADER, PRIORITY_HEADER},
};

mod batch;
mod cursor;
mod engine;
mod engine_faults;
mod engine_options;
mod engine_request;
mod free_address;
mod generation;
mod http;
mod platform_faults;
mod platform_standin;
mod prefix_cache;
mod reader_guard;
mod run;
mod run_log;
mod server;
mod service;
mod service_faults;
mod table;

pub use {
    engine::EngineStandin, engine_faults::EngineFaults, engine_options::EngineOptions,
    free_address::free_address, platform_faults::PlatformFaults, platform_standin::PlatformStandin,
    run::Run, run_log::RunLog, server::Server, service::ServiceStandin,
    service_faults::ServiceFaults,
};

use {
    batch::{Batch, BatchSlot},
    cursor::Cursor,
    engine_request::EngineRequest,
    generation::Generation,
    http::{
        Body, ConnectionCut, HandlerResult, empty_response, full_body, json_response, lock,
        read_body, read_json,
    },
    prefix_cache::PrefixCache,
    reader_guard::ReaderGuard,
    table::Table,
};
