//! The thread that exchanges heartbeats with other hosts.

use super::*;

/// Timeout of one call to another host.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of clients that are kept: more are not needed, as a host calls one coordinator at a
/// time.
const MAX_CLIENTS: usize = 16;

/// State of the thread that exchanges heartbeats.
pub(crate) struct PeerThread {
    pub(crate) events: flume::Sender<ControllerMessage>,
    pub(crate) jobs: flume::Receiver<PeerJob>,
    pub(crate) listener: std::net::TcpListener,
    pub(crate) logger: Logger,
    pub(crate) shutdown: Shutdown,
    pub(crate) token: String,
}

impl PeerThread {
    pub(crate) fn spawn(self) -> eyre::Result<JoinHandle<eyre::Result<()>>> {
        std::thread::Builder::new()
            .name("peers".to_string())
            .spawn(move || single_thread_runtime()?.block_on(self.run()))
            .wrap_err("cannot start the peer thread")
    }

    async fn run(self) -> eyre::Result<()> {
        let handler = heartbeat_handler(self.events.clone());
        let server = PeerServer::start(self.listener, self.token.clone(), handler).await?;
        tokio::select! {
            () = send_heartbeats(&self.jobs, &self.token, &self.events, &self.logger) => {}
            () = self.shutdown.started() => {}
        }
        server.stop().await;
        Ok(())
    }
}

/// Passes heartbeats of other hosts to the controller through its event channel. If the channel
/// is full, the sender gets no answer and tries another host.
fn heartbeat_handler(events: flume::Sender<ControllerMessage>) -> PeerHandler {
    Arc::new(move |heartbeat| {
        let (sender, answer) = oneshot::channel();
        let sent = events.try_send(ControllerMessage::HeartbeatReceived(heartbeat, sender));
        Box::pin(async move {
            sent.ok()?;
            timeout(CALL_TIMEOUT, answer).await.ok()?.ok()
        })
    })
}

async fn send_heartbeats(
    jobs: &flume::Receiver<PeerJob>,
    token: &str,
    events: &flume::Sender<ControllerMessage>,
    logger: &Logger,
) {
    let mut clients: HashMap<SocketAddr, PeerClient> = HashMap::default();
    while let Ok(job) = jobs.recv_async().await {
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        let answer = match client(&mut clients, job.address, token) {
            Some(client) => client.heartbeat(job.heartbeat).await,
            None => None,
        };
        if answer.is_none() {
            debug!(logger, "peers: heartbeat not answered"; "peer" => %job.host);
            clients.remove(&job.address);
        }
        let event = Event::HeartbeatAnswered {
            answer,
            sent: job.sent_at,
            host: job.host,
        };
        let _ = events.send_async(ControllerMessage::Event(event)).await;
    }
}

fn client<'a>(
    clients: &'a mut HashMap<SocketAddr, PeerClient>,
    address: SocketAddr,
    token: &str,
) -> Option<&'a PeerClient> {
    match clients.entry(address) {
        Entry::Occupied(entry) => Some(entry.into_mut()),
        Entry::Vacant(entry) => {
            let client = PeerClient::new(address, token.to_string(), CALL_TIMEOUT).ok()?;
            Some(entry.insert(client))
        }
    }
}
