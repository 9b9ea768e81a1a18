//! The host of rhubarbcove. A thread for each duty (callers, decisions,
//! upstreams, platform, operators), joined by bounded rings; the decisions
//! themselves are in the package `policy`.

use {
    arc_swap::{ArcSwap, ArcSwapOption},
    bytes::{Bytes, BytesMut},
    config::{CallerLimits, Document, Limits, Numbered, Patch, RelaySettings, Route, Settings},
    eyre::{Context, eyre},
    futures::{
        StreamExt,
        future::{Either, select},
    },
    http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode,
        body::{Body, Frame, Incoming, SizeHint},
        header::{
            AUTHORIZATION, CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER, UPGRADE,
        },
        http::request::Parts,
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    metrics::{counter, gauge, histogram},
    metrics_exporter_prometheus::{
        Matcher, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
    },
    peer::{
        Coverage, Crash, CrashNote, DutyNote, Heartbeat, HeartbeatAnswer, LoadNote, MessageError,
        PeerClient, PeerHandler, PeerHost, PeerServer, ServiceDivision, TableRow, TableUpdate,
        TablesRequest, TablesResponse, TokenGrant, TokenRequest, UpstreamNote, UsageNote,
        VersionNote,
    },
    policy::{
        Action, AdmissionChange, Arrival, AttemptEnd, BrittlenessChange, ClaimRequest, ClaimResult,
        Controller, ControllerOptions, CrashDetected, CrashSource, Event, FetchEnd, HostPhase,
        LeavingDetected, LimitChange, Outcome, OutcomeEnd, PathChange, PrefixHash, Refusal,
        RefusalReason, RelayRules, Repeatability, RoutedRequest, SendOrder, Settlement, SlotRules,
        SpeedChange, StoredResponse, TableTransferSlots, Target, WasteCause, WorkingSet,
    },
    ports::{
        Clock, Directory, DirectoryChannels, DirectoryUpdate, DutyReport, ForwardingContext,
        HeadError, Protocol, ReadStats, ReceivedConfiguration, RequestHead, ResponseClass,
        SharedTable, SharedTableUpdate, SourceDocument, TableSource, header_number,
    },
    rand::Rng,
    serde::{Deserialize, Serialize},
    serde_json::{json, value::RawValue},
    slog::{Drain, Logger, debug, info, o, warn},
    socket2::SockRef,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque, hash_map::Entry},
        convert::Infallible,
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        pin::{Pin, pin},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        task::{self, Poll},
        thread::JoinHandle,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    store::{
        ClaimRow, ClaimState, ConfigStore, ConfigStoreError, HostList, HttpCalls, ListedHost,
        ListedState, PlatformClient, PlatformError, Row, TableBatch, TableOperation, TableResult,
    },
    subtle::ConstantTimeEq,
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::{Notify, mpsc, oneshot, watch},
        task::JoinSet,
        time::{sleep, timeout},
    },
    types::prelude::*,
    upstream::{
        Call, CallFailure, ConnectionPool, Destination, EngineAdapter, NO_CONNECTION, ReuseResult,
        ServiceAdapter, StreamItem, TokenStream, UpstreamResponse, UpstreamSender, check_listening,
    },
};

mod activity;
mod allocation;
mod answer_reader;
mod answer_sender;
mod answers;
mod asked;
mod body_budget;
mod body_error;
mod broken_answer;
mod burn_window;
mod caller_interface;
mod caller_request;
mod caller_service;
mod caller_thread;
mod class_report;
mod configuration_fetcher;
mod connection_reuse;
mod controller_thread;
mod decision_log;
mod directory_thread;
mod duty_log;
mod event_splitter;
mod fetch_job;
mod forwarded_connection;
mod host;
mod host_metrics;
mod host_status;
mod http_listener;
mod installation;
mod instruction;
mod instructions;
mod jitter;
mod ledger;
mod limits_in_force;
mod log_budget;
mod logs;
mod note_sender;
mod note_thread;
mod operator_service;
mod peer_job;
mod peer_service;
mod peer_thread;
mod platform_job;
mod platform_thread;
mod probe_job;
mod promise;
mod pump;
mod pumps;
mod reader_signals;
mod received_tables;
mod relay;
mod relay_rules;
mod relay_service;
mod relayed_request;
mod report;
mod request_metrics;
mod request_task;
mod ring_event;
mod rings;
mod runtime;
mod shared;
mod shutdown;
mod table_claims;
mod table_copy;
mod transit_service;
mod unread_answers;
mod unread_ledger;
mod unread_part;
mod upstream_thread;
mod whole_answer;
mod whole_body;
mod wiring;

pub use {
    class_report::ClassReport,
    host::{Draining, Host, Serving},
    host_status::HostStatus,
    installation::Installation,
    logs::{discard_logger, json_logger, json_logger_to},
    promise::Promise,
    report::Report,
};

use {
    activity::Activity,
    allocation::Allocation,
    answer_reader::AnswerReader,
    answer_sender::AnswerSender,
    answers::{AnswerBody, error_answer, text_answer},
    asked::Asked,
    body_budget::{BodyBudget, HeldBytes},
    body_error::BodyError,
    broken_answer::BrokenAnswer,
    burn_window::BurnWindow,
    caller_interface::CallerInterface,
    caller_request::{CallerRequest, EngineBody},
    caller_service::CallerService,
    caller_thread::CallerThread,
    configuration_fetcher::ConfigurationFetcher,
    controller_thread::ControllerThread,
    decision_log::{DecisionLog, Knowledge},
    directory_thread::DirectoryThread,
    event_splitter::EventSplitter,
    fetch_job::FetchJob,
    forwarded_connection::ForwardedConnection,
    host_metrics::HostMetrics,
    http_listener::HttpListener,
    instruction::Instruction,
    instructions::Instructions,
    jitter::jittered,
    ledger::Ledger,
    limits_in_force::LimitsInForce,
    log_budget::{LineKind, LogBudget},
    note_sender::NoteSender,
    note_thread::NoteThread,
    operator_service::OperatorService,
    peer_job::PeerJob,
    peer_service::{ConfigurationTransfers, PeerService},
    peer_thread::PeerThread,
    platform_job::PlatformJob,
    platform_thread::PlatformThread,
    probe_job::{ProbeJob, ProbeKind},
    pump::Pump,
    pumps::Pumps,
    reader_signals::ReaderSignals,
    received_tables::{ReceivedTables, TablesAvailability},
    relay::Relay,
    relay_service::RelayService,
    relayed_request::RelayedRequest,
    request_task::{Next, RequestTask},
    ring_event::RingEvent,
    rings::Rings,
    runtime::single_thread_runtime,
    shared::Shared,
    shutdown::Shutdown,
    table_claims::TableClaims,
    table_copy::TableCopy,
    transit_service::TransitService,
    unread_answers::UnreadAnswers,
    unread_ledger::{Holding, ReaderId, Room, STALL, UnreadLedger},
    unread_part::UnreadPart,
    upstream_thread::UpstreamThread,
    whole_answer::WholeAnswer,
    whole_body::WholeBody,
    wiring::{Thread, Wiring, listen},
};

/// Header by which a caller names its class.
pub const CLASS_HEADER: &str = "x-request-class";

/// Header by which a caller says `false` to forbid a second run.
pub const IDEMPOTENT_HEADER: &str = "x-idempotent";

/// Header that carries the verdict of an answer.
pub const VERDICT_HEADER: &str = "x-request-verdict";

/// Header that marks a stored answer.
pub const REPLAYED_HEADER: &str = "idempotent-replayed";

/// Header that carries the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
