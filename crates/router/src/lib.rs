//! The router host of rhubarbcove. Each job (serving callers, deciding, polling upstreams, talking
//! to the platform, serving operators) has its own threads, which are connected by bounded
//! channels. The decision logic is in the package `policy`.

use {
    arc_swap::{ArcSwap, ArcSwapOption},
    bytes::{Bytes, BytesMut},
    config::{
        CallerLimits, Document, Limits, Patch, RelaySettings, Route, Settings, VersionedDocument,
    },
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
            AUTHORIZATION, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue,
            RETRY_AFTER, TRANSFER_ENCODING, UPGRADE,
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
        PeerClient, PeerHandler, PeerHost, PeerServer, ServiceDivision, StreamNote, TableRow,
        TableUpdate, TablesRequest, TablesResponse, TokenGrant, TokenRequest, UpstreamNote,
        UsageNote, VersionNote,
    },
    policy::{
        Action, AdmissionChange, Arrival, AttemptEnd, BrittlenessChange, ClaimRequest, ClaimResult,
        Controller, ControllerOptions, CrashDetected, CrashSource, Event, FetchEnd, HostPhase,
        LeavingDetected, LimitChange, Outcome, OutcomeEnd, PathChange, PrefixHash, Refusal,
        RefusalReason, RelayRules, Repeatability, RoutedRequest, SendOrder, Settlement, SlotRules,
        SpeedChange, StoredResponse, TableTransferSlots, TakenUpStream, Target, WasteCause,
        WorkingSet,
    },
    ports::{
        Clock, ConnectionUse, Directory, DirectoryChannels, DirectoryUpdate, DutyReport,
        ForwardingContext, HeadError, NamedAttempt, Protocol, ReceivedConfiguration, RequestHead,
        ResponseClass, SharedTable, SharedTableUpdate, SourceDocument, TableSource, header_number,
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
        ClaimRow, ClaimState, ConfigStore, ConfigStoreError, ConfigurationClient,
        ConfigurationError, ConfigurationReply, HostList, ListedHost, ListedState, PlatformClient,
        PlatformError, Row, TableBatch, TableOperation, TableResult,
    },
    subtle::ConstantTimeEq,
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::{Notify, mpsc, oneshot, watch},
        task::JoinSet,
        time::{MissedTickBehavior, interval, sleep, timeout, timeout_at},
    },
    types::prelude::*,
    upstream::{
        Call, CallFailure, ConnectionId, ConnectionPool, Destination, EngineAdapter, NO_CONNECTION,
        ReuseResult, ServiceAdapter, StreamItem, TokenStream, UpstreamResponse, UpstreamSender,
        check_listening,
    },
};

mod answer_reader;
mod answer_sender;
mod answers;
mod body_budget;
mod body_error;
mod broken_answer;
mod burn_window;
mod caller_interface;
mod caller_request;
mod caller_service;
mod caller_thread;
mod channels;
mod class_report;
mod configuration_fetcher;
mod connection_reuse;
mod controller_message;
mod controller_thread;
mod decision_log;
mod directory_thread;
mod duty_log;
mod effective_limits;
mod event_splitter;
mod fetch_job;
mod forwarded_connection;
mod guarantee_check;
mod host;
mod host_metrics;
mod host_status;
mod host_threads;
mod http_listener;
mod installation;
mod instruction;
mod instruction_receiver;
mod jitter;
mod last_activity;
mod log_budget;
mod logs;
mod loop_delay;
mod note_sender;
mod note_thread;
mod operator_service;
mod parsed_request;
mod peer_job;
mod peer_service;
mod peer_thread;
mod platform_job;
mod platform_thread;
mod probe_job;
mod reader_signals;
mod received_tables;
mod rejected_response;
mod relay;
mod relay_rules;
mod relay_service;
mod relayed_request;
mod report;
mod request_handler;
mod request_metrics;
mod request_statistics;
mod request_task;
mod runtime;
mod served_configuration;
mod shared_state;
mod shutdown;
mod table_claims;
mod table_copy;
mod task_set;
mod transit_service;
mod unread_answers;
mod unread_budget;
mod unread_part;
mod upstream_thread;
mod whole_answer;
mod whole_body;

pub use {
    class_report::ClassReport,
    guarantee_check::GuaranteeCheck,
    host::{Draining, Host, Serving},
    host_status::HostStatus,
    installation::Installation,
    logs::{discard_logger, json_logger, json_logger_to},
    report::Report,
};

use {
    answer_reader::AnswerReader,
    answer_sender::AnswerSender,
    answers::{AnswerBody, error_answer, text_answer},
    body_budget::{BodyBudget, BodyReservation},
    body_error::BodyError,
    broken_answer::BrokenAnswer,
    burn_window::BurnWindow,
    caller_interface::CallerInterface,
    caller_request::{CallerRequest, EngineBody},
    caller_service::CallerService,
    caller_thread::CallerThread,
    channels::Channels,
    configuration_fetcher::ConfigurationFetcher,
    controller_message::ControllerMessage,
    controller_thread::ControllerThread,
    decision_log::{DecisionContext, DecisionLog},
    directory_thread::DirectoryThread,
    effective_limits::EffectiveLimits,
    event_splitter::EventSplitter,
    fetch_job::FetchJob,
    forwarded_connection::ForwardedConnection,
    host_metrics::HostMetrics,
    host_threads::{HostThreads, ThreadHandle, listen},
    http_listener::HttpListener,
    instruction::Instruction,
    instruction_receiver::InstructionReceiver,
    jitter::jittered,
    last_activity::LastActivity,
    log_budget::{LineKind, LogBudget},
    loop_delay::LoopDelay,
    note_sender::NoteSender,
    note_thread::NoteThread,
    operator_service::OperatorService,
    parsed_request::ParsedRequest,
    peer_job::PeerJob,
    peer_service::{ConfigurationTransfers, PeerService},
    peer_thread::PeerThread,
    platform_job::PlatformJob,
    platform_thread::PlatformThread,
    probe_job::{ProbeJob, ProbeKind},
    reader_signals::ReaderSignals,
    received_tables::{ReceivedTables, TablesAvailability},
    rejected_response::RejectedResponse,
    relay::Relay,
    relay_service::RelayService,
    relayed_request::RelayedRequest,
    request_handler::RequestHandler,
    request_statistics::RequestStatistics,
    request_task::{NextStep, RequestTask},
    runtime::single_thread_runtime,
    served_configuration::ServedConfiguration,
    shared_state::SharedState,
    shutdown::Shutdown,
    table_claims::TableClaims,
    table_copy::TableCopy,
    task_set::TaskSet,
    transit_service::TransitService,
    unread_answers::UnreadAnswers,
    unread_budget::{Delivery, ReaderId, Reservation, STALL_TIMEOUT, UnreadBudget},
    unread_part::UnreadPart,
    upstream_thread::UpstreamThread,
    whole_answer::WholeAnswer,
    whole_body::WholeBody,
};

/// Header in which a caller names the request class.
pub const CLASS_HEADER: &str = "x-request-class";

/// Header that a caller sets to `false` to forbid that the request runs a second time.
pub const IDEMPOTENT_HEADER: &str = "x-idempotent";

/// Response header that carries the verdict on the request.
pub const VERDICT_HEADER: &str = "x-request-verdict";

/// Header that marks a response as replayed from storage.
pub const REPLAYED_HEADER: &str = "idempotent-replayed";

/// Header that carries the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
