//! The thread that looks at upstreams: load reports and probes.

use super::*;

/// Time between two load reports of one engine.
const LOAD_INTERVAL: Duration = Duration::from_millis(500);

/// What the thread is given.
pub(crate) struct UpstreamThread {
    pub(crate) configuration: Arc<ArcSwapOption<Numbered>>,
    pub(crate) events: flume::Sender<RingEvent>,
    pub(crate) logger: Logger,
    pub(crate) probes: flume::Receiver<ProbeJob>,
    pub(crate) shutdown: Shutdown,
}

impl UpstreamThread {
    pub(crate) fn spawn(self) -> eyre::Result<JoinHandle<eyre::Result<()>>> {
        std::thread::Builder::new()
            .name("upstreams".to_string())
            .spawn(move || {
                single_thread_runtime()?.block_on(self.run());
                Ok(())
            })
            .wrap_err("cannot start the upstreams' thread")
    }

    async fn run(self) {
        let adapter = EngineAdapter::default();
        tokio::select! {
            () = poll_loads(&self.configuration, &adapter, &self.events) => {}
            () = serve_probes(&self.probes, &adapter, &self.events, &self.logger) => {}
            () = self.shutdown.started() => {}
        }
    }
}

async fn poll_loads(
    configuration: &ArcSwapOption<Numbered>,
    adapter: &EngineAdapter,
    events: &flume::Sender<RingEvent>,
) {
    loop {
        let numbered = configuration.load_full();
        let engines = numbered
            .iter()
            .flat_map(|numbered| &numbered.document.upstreams);
        let polls = engines
            .filter(|(_, upstream)| matches!(upstream, config::Upstream::Engine(_)))
            .map(|(id, upstream)| poll_load(adapter, id.clone(), upstream.address(), events));
        futures::future::join_all(polls).await;
        sleep(jittered(LOAD_INTERVAL)).await;
    }
}

async fn poll_load(
    adapter: &EngineAdapter,
    upstream: UpstreamId,
    address: SocketAddr,
    events: &flume::Sender<RingEvent>,
) {
    if let Some(report) = adapter.load(address).await {
        let event = Event::LoadReported { report, upstream };
        let _ = events.send_async(RingEvent::Happened(event)).await;
    }
}

async fn serve_probes(
    probes: &flume::Receiver<ProbeJob>,
    adapter: &EngineAdapter,
    events: &flume::Sender<RingEvent>,
    logger: &Logger,
) {
    while let Ok(ProbeJob { address, upstream }) = probes.recv_async().await {
        let healthy = adapter.is_healthy(address).await;
        info!(logger, "upstreams: probed"; "upstream" => %upstream, "healthy" => healthy);
        let event = Event::ProbeAnswered { healthy, upstream };
        let _ = events.send_async(RingEvent::Happened(event)).await;
    }
}
