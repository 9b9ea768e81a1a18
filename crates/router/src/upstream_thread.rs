//! The thread that polls the load of engines and probes upstreams.

use super::*;

/// Time between two polls of engines: four polls a second.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Largest number of engines in a failure domain for which each host polls all of them.
const MAX_FULLY_POLLED_ENGINES: usize = 8;

/// Number of engines that a host polls besides those of its own share in a larger failure domain.
const EXTRA_POLLED_ENGINES: usize = 4;

/// Number of probes that run at the same time: each probe of an unreachable upstream takes 0.3 s.
const MAX_CONCURRENT_PROBES: usize = 8;

/// State of the upstream thread.
pub(crate) struct UpstreamThread {
    pub(crate) clock: Clock,
    pub(crate) configuration: Arc<ArcSwapOption<VersionedDocument>>,
    pub(crate) events: flume::Sender<ControllerMessage>,
    pub(crate) logger: Logger,
    pub(crate) probes: flume::Receiver<ProbeJob>,
    /// Format of the upstreams' answers in an installation; `None` outside of one.
    pub(crate) protocol: Option<Arc<dyn Protocol>>,
    pub(crate) shutdown: Shutdown,
    pub(crate) status: Arc<ArcSwap<HostStatus>>,
    /// Secret with which this host authenticates to other hosts.
    pub(crate) token: String,
}

impl UpstreamThread {
    pub(crate) fn spawn(self) -> eyre::Result<JoinHandle<eyre::Result<()>>> {
        std::thread::Builder::new()
            .name("upstreams".to_string())
            .spawn(move || {
                single_thread_runtime()?.block_on(self.run());
                Ok(())
            })
            .wrap_err("cannot start the upstream thread")
    }

    async fn run(self) {
        let connections = ConnectionPool::with_token(&self.token);
        let adapter = EngineAdapter::new(connections.clone());
        tokio::select! {
            () = poll_loads(&self.configuration, &self.status, &adapter, &self.events) => {}
            () = self.serve_probes(&adapter, &connections) => {}
            () = self.shutdown.started() => {}
        }
    }

    async fn serve_probes(&self, adapter: &EngineAdapter, connections: &ConnectionPool) {
        let jobs = self.probes.stream();
        jobs.for_each_concurrent(MAX_CONCURRENT_PROBES, |job| {
            self.probe(job, adapter, connections)
        })
        .await;
    }

    async fn probe(&self, job: ProbeJob, adapter: &EngineAdapter, connections: &ConnectionPool) {
        let ProbeJob {
            address,
            paths,
            kind,
            upstream,
        } = job;
        let destination = Destination {
            address,
            paths,
            upstream: Some(upstream.clone()),
        };
        let event = match kind {
            ProbeKind::Health(path) => {
                let healthy = self
                    .check_health(adapter, &destination, &path, &upstream)
                    .await;
                info!(self.logger, "upstreams: probed";
                    "upstream" => %upstream, "healthy" => healthy);
                Event::ProbeAnswered { healthy, upstream }
            }
            ProbeKind::Listening => {
                let listening = check_listening(address).await;
                info!(self.logger, "upstreams: checked whether it listens";
                    "upstream" => %upstream, "listening" => format!("{listening:?}"));
                Event::ListeningChecked {
                    listening,
                    upstream,
                }
            }
            ProbeKind::Path => Event::PathsTried {
                request: None,
                attempts: connections.open(&destination).await.attempts,
                upstream,
            },
        };
        self.send_event(event).await;
    }

    /// Checks whether an upstream is healthy. A notice in its answer is reported to the controller
    /// before the result.
    async fn check_health(
        &self,
        adapter: &EngineAdapter,
        destination: &Destination,
        path: &str,
        upstream: &UpstreamId,
    ) -> bool {
        let sent = self.clock.now();
        let Some((status, headers)) = adapter.check_health(destination, path).await else {
            return false;
        };
        let Some(protocol) = &self.protocol else {
            return status.is_success();
        };
        if !protocol.is_of_upstream(upstream, &headers) {
            return false;
        }
        let notice = protocol.read_notice(status, &headers);
        if !notice.is_empty() {
            self.send_event(Event::NoticeAnswered {
                notice,
                sent,
                upstream: upstream.clone(),
            })
            .await;
        }
        status.is_success()
    }

    async fn send_event(&self, event: Event) {
        // Sending does not fail, as the controller runs longer than this thread.
        let _ = self
            .events
            .send_async(ControllerMessage::Event(event))
            .await;
    }
}

/// Polls one engine after the other at a fixed rate, so that the cost of polling does not grow
/// with the failure domain.
async fn poll_loads(
    configuration: &ArcSwapOption<VersionedDocument>,
    status: &ArcSwap<HostStatus>,
    adapter: &EngineAdapter,
    events: &flume::Sender<ControllerMessage>,
) {
    loop {
        let polled = polled_engines(configuration.load_full().as_deref(), &status.load());
        if polled.is_empty() {
            sleep(POLL_INTERVAL).await;
        }
        for (upstream, address) in polled {
            let poll = poll_load(adapter, upstream, address, events);
            futures::join!(poll, sleep(jittered(POLL_INTERVAL)));
        }
    }
}

/// Returns the engines that this host polls. In a small failure domain, these are all engines. In
/// a larger one, these are the engines of this host's share and some others that differ between
/// hosts.
fn polled_engines(
    numbered: Option<&VersionedDocument>,
    status: &HostStatus,
) -> Vec<(UpstreamId, SocketAddr)> {
    let Some(numbered) = numbered else {
        return Vec::new();
    };
    let mut engines: Vec<(&UpstreamId, SocketAddr)> = numbered
        .document
        .upstreams
        .iter()
        .filter(|(_, upstream)| matches!(upstream, config::Upstream::Engine(_)))
        .filter(|(_, upstream)| *upstream.failure_domain() == status.failure_domain)
        .map(|(id, upstream)| (id, upstream.address()))
        .collect();
    if engines.len() > MAX_FULLY_POLLED_ENGINES {
        engines.sort_by_key(|(id, _)| {
            let is_home = status.home.contains(id);
            (!is_home, rendezvous_weight(id.name(), &status.host))
        });
        engines.truncate(status.home.len() + EXTRA_POLLED_ENGINES);
    }
    let engines = engines.into_iter();
    engines.map(|(id, address)| (id.clone(), address)).collect()
}

async fn poll_load(
    adapter: &EngineAdapter,
    upstream: UpstreamId,
    address: SocketAddr,
    events: &flume::Sender<ControllerMessage>,
) {
    if let Some(report) = adapter.load(address).await {
        let event = Event::LoadReported { report, upstream };
        let _ = events.send_async(ControllerMessage::Event(event)).await;
    }
}
