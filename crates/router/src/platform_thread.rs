//! The thread that talks to the platform: configuration, host list, claims.

use super::*;

/// Longest time of one call to the platform.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between two looks of a coordinator at the newest version.
const COORDINATOR_WATCH_INTERVAL: Duration = Duration::from_millis(1_000);

/// The same for other hosts: they learn of a new version from their coordinator, so
/// that the platform's reads grow with the domains and not with the hosts.
const WATCH_INTERVAL: Duration = Duration::from_millis(5_000);

/// Shortest time between two looks at the newest version.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reads of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Claims written in one call.
const MAX_CLAIM_BATCH: usize = 64;

/// What the platform's thread is given.
pub(crate) struct PlatformThread {
    pub(crate) address: SocketAddr,
    pub(crate) events: flume::Sender<RingEvent>,
    pub(crate) jobs: flume::Receiver<PlatformJob>,
    pub(crate) logger: Logger,
    pub(crate) read_configuration: Arc<Notify>,
    pub(crate) shutdown: Shutdown,
    pub(crate) status: Arc<ArcSwap<HostStatus>>,
}

impl PlatformThread {
    pub(crate) fn spawn(self) -> eyre::Result<JoinHandle<eyre::Result<()>>> {
        std::thread::Builder::new()
            .name("platform".to_string())
            .spawn(move || {
                single_thread_runtime()?.block_on(self.run());
                Ok(())
            })
            .wrap_err("cannot start the platform's thread")
    }

    async fn run(self) {
        let client = Arc::new(PlatformClient::new(self.address, CALL_TIMEOUT));
        let claims = TableClaims::new(Arc::clone(&client));
        let store = ConfigStore::new(Arc::clone(&client));
        let watch = async {
            futures::join!(
                watch_configuration(
                    &store,
                    &self.read_configuration,
                    &self.status,
                    &self.events,
                    &self.logger
                ),
                watch_hosts(&client, &self.events, &self.logger),
            );
        };
        tokio::select! {
            () = watch => {}
            // Settlements are finished first: the ring closes only after the
            // controller's thread has ended.
            () = serve_jobs(&self.jobs, &claims, &self.events) => {}
        }
        self.shutdown.started().await;
        info!(self.logger, "platform: all claims settled");
    }
}

async fn watch_configuration(
    store: &ConfigStore,
    read_requested: &Notify,
    status: &ArcSwap<HostStatus>,
    events: &flume::Sender<RingEvent>,
    logger: &Logger,
) {
    let mut newest_read: Option<Arc<Numbered>> = None;
    let mut last_error = String::new();
    loop {
        match store.read_newer(newest_read.as_deref()).await {
            Ok(newer) => {
                last_error.clear();
                if let Some(newest) = newer.map(Arc::new) {
                    newest_read = Some(Arc::clone(&newest));
                    let event = RingEvent::Happened(Event::ConfigurationRead(newest));
                    let _ = events.send_async(event).await;
                }
            }
            Err(error) => {
                // Once for each new trouble, not once a second.
                let error = error.to_string();
                if error != last_error {
                    warn!(logger, "platform: configuration not read"; "error" => &error);
                    last_error = error;
                }
            }
        }
        // A peer's word of a newer version cuts the wait short, but never below
        // a pause: peers that are ahead of a slow platform must not make every
        // host ask it at once and again.
        sleep(MIN_WATCH_INTERVAL).await;
        let interval = if is_coordinator(&status.load()) {
            COORDINATOR_WATCH_INTERVAL
        } else {
            WATCH_INTERVAL
        };
        let wait = jittered(interval).saturating_sub(MIN_WATCH_INTERVAL);
        let _ = timeout(wait, read_requested.notified()).await;
    }
}

fn is_coordinator(status: &HostStatus) -> bool {
    status.coordinator == status.host
}

async fn watch_hosts(client: &PlatformClient, events: &flume::Sender<RingEvent>, logger: &Logger) {
    let mut tag = String::new();
    loop {
        match client.hosts(&tag).await {
            Ok(Some(newest)) => {
                debug!(logger, "platform: host list"; "hosts" => newest.list.hosts.len());
                tag = newest.tag;
                send_host_list(&newest.list, events).await;
            }
            Ok(None) => {}
            Err(error) => debug!(logger, "platform: host list not read"; "error" => %error),
        }
        sleep(jittered(HOST_LIST_INTERVAL)).await;
    }
}

async fn send_host_list(list: &HostList, events: &flume::Sender<RingEvent>) {
    let hosts = list.hosts.iter().map(peer_host).collect();
    let event = Event::HostsListed { hosts };
    let _ = events.send_async(RingEvent::Happened(event)).await;
    let leaving = list
        .upstreams
        .iter()
        .filter(|listed| listed.state == ListedState::Leaving)
        .map(|listed| listed.upstream.clone())
        .collect();
    let event = Event::UpstreamsListed { leaving };
    let _ = events.send_async(RingEvent::Happened(event)).await;
}

fn peer_host(listed: &ListedHost) -> PeerHost {
    PeerHost {
        address: listed.peer_address,
        failure_domain: listed.failure_domain.clone(),
        host: listed.host.clone(),
        leaving: listed.state == ListedState::Leaving,
    }
}

/// Carries jobs out until the ring is closed and empty, and joins them.
async fn serve_jobs(
    jobs: &flume::Receiver<PlatformJob>,
    claims: &TableClaims,
    events: &flume::Sender<RingEvent>,
) {
    let mut tasks = JoinSet::new();
    loop {
        let job = tokio::select! {
            job = jobs.recv_async() => job,
            Some(_) = tasks.join_next() => continue,
        };
        let Ok(job) = job else { break };
        let mut batch = Vec::new();
        let mut next = Some(job);
        while let Some(job) = next {
            match job {
                PlatformJob::Claim(claim) => batch.push(claim),
                PlatformJob::Settle(settlement) => {
                    let claims = claims.clone();
                    tasks.spawn(async move { claims.settle(&settlement).await });
                }
            }
            next = (batch.len() < MAX_CLAIM_BATCH)
                .then(|| jobs.try_recv().ok())
                .flatten();
        }
        if !batch.is_empty() {
            let claims = claims.clone();
            let events = events.clone();
            tasks.spawn(async move { claim_batch(&claims, batch, &events).await });
        }
    }
    while tasks.join_next().await.is_some() {}
}

/// Claims a batch and tells the controller. A claim of which nothing is known
/// is released afterwards, since nothing was sent for it.
async fn claim_batch(
    claims: &TableClaims,
    mut batch: Vec<ClaimRequest>,
    events: &flume::Sender<RingEvent>,
) {
    // The most urgent first, should the platform cut the batch short.
    batch.sort_by_key(|claim| claim.tier);
    for round in split_duplicate_keys(batch) {
        claim_round(claims, round, events).await;
    }
}

/// Splits a batch so that no key stands in one call twice.
///
/// What goes wrong otherwise: a table may judge all the conditions of a call
/// before it carries the first write out; then two claims of one key in one
/// call are both granted, and the request runs twice.
fn split_duplicate_keys(batch: Vec<ClaimRequest>) -> Vec<Vec<ClaimRequest>> {
    let mut seen: HashMap<(TeamId, IdempotencyKey), usize> = HashMap::default();
    let mut rounds: Vec<Vec<ClaimRequest>> = Vec::new();
    for claim in batch {
        let count = seen
            .entry((claim.team.clone(), claim.key.clone()))
            .or_default();
        let round = *count;
        *count += 1;
        if rounds.len() <= round {
            rounds.push(Vec::new());
        }
        rounds[round].push(claim);
    }
    rounds
}

async fn claim_round(
    claims: &TableClaims,
    batch: Vec<ClaimRequest>,
    events: &flume::Sender<RingEvent>,
) {
    let answers = claims.claim(&batch).await;
    let mut unknown = Vec::new();
    for (claim, answer) in batch.into_iter().zip(answers) {
        let event = Event::ClaimAnswered {
            answer: answer.clone(),
            request: claim.request,
        };
        let _ = events.send_async(RingEvent::Happened(event)).await;
        if answer == ClaimResult::Unknown {
            unknown.push(claim);
        }
    }
    let releases = unknown.iter().map(|claim| claims.release(claim));
    futures::future::join_all(releases).await;
}
