//! The thread that communicates with the platform: configuration, host list and claims.

use super::*;

/// Timeout of one call to the platform.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time between two reads of the newest configuration version by a coordinator.
const COORDINATOR_WATCH_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between two reads of the newest configuration version by any other host. Such a host
/// learns of a new version from its coordinator, so that the platform's read load grows with the
/// number of failure domains and not with the number of hosts.
const WATCH_INTERVAL: Duration = Duration::from_millis(5_000);

/// Shortest time between two reads of the newest configuration version.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two reads of the host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum number of claims that are written in one call.
const MAX_CLAIM_BATCH: usize = 64;

/// State of the platform thread.
pub(crate) struct PlatformThread {
    pub(crate) address: SocketAddr,
    pub(crate) events: flume::Sender<ControllerMessage>,
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
            .wrap_err("cannot start the platform thread")
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
            // Ends after all settlements are written: the job channel closes only after the
            // controller thread has ended.
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
    events: &flume::Sender<ControllerMessage>,
    logger: &Logger,
) {
    let mut newest_read: Option<Arc<VersionedDocument>> = None;
    let mut last_error = String::new();
    loop {
        match store.read_newer(newest_read.as_deref()).await {
            Ok(newer) => {
                last_error.clear();
                if let Some(newest) = newer.map(Arc::new) {
                    newest_read = Some(Arc::clone(&newest));
                    let event = ControllerMessage::Event(Event::ConfigurationRead(newest));
                    let _ = events.send_async(event).await;
                }
            }
            Err(error) => {
                // An error is logged once and not at each retry.
                let error = error.to_string();
                if error != last_error {
                    warn!(logger, "platform: configuration not read"; "error" => &error);
                    last_error = error;
                }
            }
        }
        // A peer's note of a newer version ends the wait early, but not before the minimum
        // interval: if the platform lags behind the peers, every host would otherwise read from
        // it at once and repeatedly.
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

async fn watch_hosts(
    client: &PlatformClient,
    events: &flume::Sender<ControllerMessage>,
    logger: &Logger,
) {
    let mut tag = String::new();
    loop {
        match client.host_list_if_changed(&tag).await {
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

async fn send_host_list(list: &HostList, events: &flume::Sender<ControllerMessage>) {
    let hosts = list.hosts.iter().map(peer_host).collect();
    let event = Event::HostsListed { hosts };
    let _ = events.send_async(ControllerMessage::Event(event)).await;
    let leaving = list
        .upstreams
        .iter()
        .filter(|listed| listed.state == ListedState::Leaving)
        .map(|listed| listed.upstream.clone())
        .collect();
    let event = Event::UpstreamsListed { leaving };
    let _ = events.send_async(ControllerMessage::Event(event)).await;
}

fn peer_host(listed: &ListedHost) -> PeerHost {
    PeerHost {
        address: listed.peer_address,
        failure_domain: listed.failure_domain.clone(),
        host: listed.host.clone(),
        leaving: listed.state == ListedState::Leaving,
    }
}

/// Executes jobs until the channel is closed and empty, and waits for the running ones.
async fn serve_jobs(
    jobs: &flume::Receiver<PlatformJob>,
    claims: &TableClaims,
    events: &flume::Sender<ControllerMessage>,
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

/// Writes a batch of claims and reports the results to the controller. A claim whose result is
/// unknown is released afterwards, since its request was not sent to an upstream.
async fn claim_batch(
    claims: &TableClaims,
    mut batch: Vec<ClaimRequest>,
    events: &flume::Sender<ControllerMessage>,
) {
    // The most urgent claims come first, in case the platform executes only the start of a batch.
    batch.sort_by_key(|claim| claim.tier);
    for round in split_duplicate_keys(batch) {
        claim_round(claims, round, events).await;
    }
}

/// Splits a batch into rounds so that no key occurs twice in one call.
///
/// A table may check the conditions of all writes in a call before it executes the first one. Two
/// claims of the same key in one call would then both be granted, and the request would run
/// twice.
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
    events: &flume::Sender<ControllerMessage>,
) {
    let answers = claims.claim(&batch).await;
    let mut unknown = Vec::new();
    for (claim, answer) in batch.into_iter().zip(answers) {
        let event = Event::ClaimAnswered {
            answer: answer.clone(),
            request: claim.request,
        };
        let _ = events.send_async(ControllerMessage::Event(event)).await;
        if answer == ClaimResult::Unknown {
            unknown.push(claim);
        }
    }
    let releases = unknown.iter().map(|claim| claims.release(claim));
    futures::future::join_all(releases).await;
}
