//! Clients of the platform's services: the transactional table, the object store and the list of
//! hosts. Every call has a deadline. A lost response after a write is reported as an outcome of its
//! own, because the write may have taken effect.

use {
    bytes::{Bytes, BytesMut},
    config::{ConfigError, Document, Patch, VersionedDocument},
    http_body_util::{BodyExt, Full},
    hyper::{
        Method, Request, Response, StatusCode,
        body::{Body, Incoming},
        client::conn::http1::{SendRequest, handshake},
        header::{AUTHORIZATION, CONTENT_TYPE, ETAG, HOST, HeaderValue, IF_NONE_MATCH},
        http::response::Parts,
    },
    hyper_util::rt::TokioIo,
    ports::{Clock, ReadStats, ReceivedConfiguration, SourceDocument, header_number},
    rand::Rng,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::Value,
    socket2::SockRef,
    std::{
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        net::TcpStream,
        task::JoinSet,
        time::{Instant, timeout, timeout_at},
    },
    types::prelude::*,
    upstream::TurnLimit,
};

mod claim_row;
mod claim_state;
mod config_head;
mod config_store;
mod config_store_error;
mod configuration_client;
mod configuration_error;
mod endpoint_client;
mod host_list;
mod listed_state;
mod logged_patch;
mod pending_response;
mod platform_client;
mod platform_error;
mod row;
mod table_batch;
mod table_operation;
mod table_read;
mod table_result;
mod tagged_host_list;

pub use {
    claim_row::ClaimRow,
    claim_state::ClaimState,
    config_head::ConfigHead,
    config_store::ConfigStore,
    config_store_error::ConfigStoreError,
    configuration_client::{ConfigurationClient, ConfigurationReply, KnownConfiguration},
    configuration_error::ConfigurationError,
    endpoint_client::EndpointClient,
    host_list::{HostList, ListedHost, ListedUpstream},
    listed_state::ListedState,
    logged_patch::LoggedPatch,
    pending_response::PendingResponse,
    platform_client::PlatformClient,
    platform_error::PlatformError,
    row::Row,
    table_batch::TableBatch,
    table_operation::TableOperation,
    table_read::{TableRead, TableRows},
    table_result::{TableResult, TableResults},
    tagged_host_list::TaggedHostList,
};

use endpoint_client::{not_executed, response_lost};
