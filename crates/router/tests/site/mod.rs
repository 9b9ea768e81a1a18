//! Test site for all integration tests: hosts with stand-ins for upstreams and platform.
//!
//! `Site::with_engines(2).and_service("orders").start().await` gives a running
//! site; `site.ask("question").output_tokens(5).send().await` sends a request to it.

#![allow(dead_code, missing_docs, clippy::unwrap_used)]

use {
    bytes::Bytes,
    config::{Document, Settings},
    eventsource_stream::Eventsource,
    futures::StreamExt,
    http_body_util::{BodyDataStream, BodyExt, Full},
    hyper::{Request, Response, StatusCode, body::Incoming, client::conn::http1::handshake},
    hyper_util::rt::TokioIo,
    router::{Host, Serving},
    serde_json::{Value, json},
    standin::{
        EngineFaults, EngineOptions, EngineStandin, PlatformStandin, RunLog, ServiceFaults,
        ServiceStandin,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    store::{ConfigStore, ListedHost, ListedState, PlatformClient},
    tokio::net::TcpStream,
    types::prelude::*,
};

mod answer;
mod ask;
mod builder;

pub use {answer::Answer, ask::Ask, builder::SiteBuilder};

/// Operator token of every test host.
pub const OPERATOR_TOKEN: &str = "operator-token-of-tests";

/// Timeout of each wait in a test. No test needs the timeout to expire in order to pass.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A running site: a host with its upstreams and platform.
pub struct Site {
    pub engines: Vec<EngineStandin>,
    pub host: Option<Host<Serving>>,
    pub log: RunLog,
    /// All hosts except the first.
    pub others: Vec<Option<Host<Serving>>>,
    pub platform: PlatformStandin,
    pub services: Vec<ServiceStandin>,
    settings: Settings,
}

impl Site {
    pub fn with_engines(engines: usize) -> SiteBuilder {
        SiteBuilder::new(engines)
    }

    pub fn ask(&self, class: &str) -> Ask<'_> {
        Ask::new(self, class)
    }

    /// Sends a tagged order to the `orders` service.
    pub async fn order(&self, tag: &str) -> Answer {
        let ask = self.ask("order").at_service("orders").tagged(tag);
        ask.send().await
    }

    pub fn host(&self) -> &Host<Serving> {
        self.host.as_ref().unwrap()
    }

    /// Returns all running hosts.
    pub fn hosts(&self) -> impl Iterator<Item = &Host<Serving>> {
        self.host.iter().chain(self.others.iter().flatten())
    }

    /// Writes the running hosts to the platform's list.
    pub fn list_hosts(&self) {
        let hosts = self.hosts().map(|host| ListedHost {
            failure_domain: host.status().failure_domain,
            host: host.status().host,
            peer_address: host.peer_address(),
            state: ListedState::Live,
        });
        self.platform.set_hosts(hosts.collect());
    }

    pub fn address(&self) -> SocketAddr {
        self.host().caller_address()
    }

    pub fn store(&self) -> ConfigStore {
        let client = PlatformClient::new(self.platform.address(), Duration::from_secs(1));
        ConfigStore::new(Arc::new(client))
    }

    pub fn break_engine(&self, number: usize, edit: impl FnOnce(&mut EngineFaults)) {
        let mut faults = EngineFaults::default();
        edit(&mut faults);
        self.engines[number].set_faults(faults);
    }

    pub fn break_service(&self, edit: impl FnOnce(&mut ServiceFaults)) {
        let mut faults = ServiceFaults::default();
        edit(&mut faults);
        for service in &self.services {
            service.set_faults(faults.clone());
        }
    }

    /// Waits until the condition holds, and panics after `WAIT_TIMEOUT`.
    pub async fn until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        while !holds(self) {
            assert!(tokio::time::Instant::now() < deadline, "never: {what}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Drains and stops the host.
    pub async fn stop_host(&mut self) {
        let host = self.host.take().unwrap();
        tokio::task::spawn_blocking(move || host.drain().stop())
            .await
            .unwrap()
            .unwrap();
    }

    /// Starts the first host, or a replacement for it.
    pub async fn start_host(&mut self) {
        self.host = Some(self.start_numbered(0).await);
    }

    /// Starts the host with this number.
    pub async fn start_numbered(&self, number: usize) -> Host<Serving> {
        let mut settings = self.settings.clone();
        settings.host = format!("host-{number}").parse().unwrap();
        let host = tokio::task::spawn_blocking(move || {
            let host = Host::start(settings, router::discard_logger()).unwrap();
            assert!(host.wait_ready(WAIT_TIMEOUT));
            host
        });
        host.await.unwrap()
    }

    /// Sends a raw request that asks the host to close the connection, and reads until the host
    /// closes it. Closing it on this side would look like a caller that disconnects.
    pub async fn send_raw(&self, bytes: &[u8]) -> String {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let mut stream = TcpStream::connect(self.address()).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        String::from_utf8_lossy(&answer).into_owned()
    }

    /// Sends a request to the host's operator address.
    pub async fn operator(&self, request: Request<Full<Bytes>>) -> (StatusCode, Bytes) {
        let response = exchange(self.host().operator_address(), request).await;
        let status = response.status();
        (
            status,
            response.into_body().collect().await.unwrap().to_bytes(),
        )
    }
}

/// Sends a request over a new connection.
pub async fn exchange(address: SocketAddr, request: Request<Full<Bytes>>) -> Response<Incoming> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let asked = format!("{} {}", request.method(), request.uri());
    let answer = sender.send_request(request).await;
    answer.unwrap_or_else(|error| panic!("{asked} at {address}: {error:?}"))
}
