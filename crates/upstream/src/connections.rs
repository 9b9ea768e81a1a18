use super::*;

/// Idle connections kept for each upstream.
const MAX_IDLE: usize = 64;

/// Longest time to connect. A handshake takes a few milliseconds; an upstream
/// that lost its power answers none, and each request would wait this long.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Failure of a request for which no connection could be made.
pub const NO_CONNECTION: CallFailure = CallFailure::not_run(FailureCause::Connect);

/// Time after which bytes that were sent and not acknowledged end a connection,
/// and in which a silent peer must answer a keep-alive probe. Without it, a
/// connection to an upstream that lost its power hangs for minutes.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Silence after which a keep-alive probe is sent, and the time between two.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

type Sender = SendRequest<Full<Bytes>>;

/// A connection that is kept for the next request.
#[derive(Debug)]
struct Idle {
    expires: Instant,
    sender: Sender,
}

/// Connections to upstreams, kept open between calls.
///
/// What goes wrong with a kept connection: the upstream closes it at the very
/// moment at which a request is written. Whether the request left is known to
/// the HTTP library alone: it hands the request back if it has not begun to
/// write it, and that is the only case that counts as `not-run` here.
/// Everything else after a connection stands is `may-have-run`.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
    /// The tasks that drive the connections; they end with the last clone.
    tasks: Arc<Mutex<JoinSet<()>>>,
}

impl Connections {
    /// Sends a request, over a kept connection if there is one, and waits for the head of the
    /// answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<(Response<Incoming>, UpstreamSender), CallFailure> {
        let request = match self.send_kept(address, request, head_timeout).await {
            Kept::Sent(sent) => return sent,
            Kept::Unsent(request) => request,
        };
        let opening = self.open(address).await;
        let sender = opening.sender.ok_or(NO_CONNECTION)?;
        self.send_on(sender, request, head_timeout).await
    }

    /// Sends a request over a kept connection, and waits for the head of the answer.
    pub async fn send_kept(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Kept {
        let mut request = request;
        while let Some(mut sender) = self.take_idle(address) {
            match Self::try_send(&mut sender, request, head_timeout).await {
                Ok(response) => {
                    count("reused");
                    return Kept::Sent(Ok((response, UpstreamSender(sender))));
                }
                // The connection had been closed: nothing was written.
                Err((_, Some(unsent))) => request = unsent,
                Err((failure, None)) => return Kept::Sent(Err(failure)),
            }
        }
        Kept::Unsent(request)
    }

    /// Sends a request over a new connection, and waits for the head of the answer.
    pub async fn send_on(
        &self,
        sender: UpstreamSender,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<(Response<Incoming>, UpstreamSender), CallFailure> {
        let UpstreamSender(mut sender) = sender;
        match Self::try_send(&mut sender, request, head_timeout).await {
            Ok(response) => Ok((response, UpstreamSender(sender))),
            Err((failure, _)) => Err(failure),
        }
    }

    /// Opens a connection.
    pub async fn open(&self, address: SocketAddr) -> Opening {
        let opened = self.connect(address).await;
        count(if opened.is_ok() { "opened" } else { "failed" });
        let end = opened
            .as_ref()
            .map_or_else(|end| *end, |_| PathEnd::Connected);
        Opening {
            sender: opened.ok().map(UpstreamSender),
            tries: vec![PathTry {
                end,
                path: Path::Direct,
            }],
        }
    }

    async fn try_send(
        sender: &mut Sender,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<Response<Incoming>, (CallFailure, Option<Request<Full<Bytes>>>)> {
        match timeout(head_timeout, sender.try_send_request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(mut error)) => match error.take_message() {
                Some(unsent) => {
                    let failure = CallFailure::not_run(FailureCause::Reset);
                    Err((failure, Some(unsent)))
                }
                None => Err((CallFailure::may_have_run(FailureCause::Reset), None)),
            },
            Err(_) => Err((CallFailure::may_have_run(FailureCause::Silent), None)),
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, PathEnd> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| PathEnd::NoAnswer)?
            .map_err(|_| PathEnd::Refused)?;
        watch_peer(&stream).map_err(|_| PathEnd::Refused)?;
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| PathEnd::Refused)?;
        let mut tasks = lock(&self.tasks);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(async move {
            // Whatever ends it, the request that uses it is notified.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = lock(&self.idle);
        let senders = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(Idle { expires, sender }) = senders.pop() {
            idle_gauge().decrement(1);
            if now < expires && sender.is_ready() && !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    /// Keeps a connection whose answer has been read to its end, for a time in
    /// which the upstream is not expected to close it.
    pub fn keep(&self, address: SocketAddr, sender: UpstreamSender, keep_for: Duration) {
        let UpstreamSender(sender) = sender;
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        let senders = idle.entry(address).or_default();
        let before = senders.len() as f64;
        senders.retain(|idle| now < idle.expires && !idle.sender.is_closed());
        if senders.len() < MAX_IDLE {
            let expires = now + keep_for;
            senders.push(Idle { expires, sender });
        }
        idle_gauge().increment(senders.len() as f64 - before);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts what became of a connection that was wanted.
fn count(event: &'static str) {
    counter!("rhubarbcove_upstream_connections_total", "event" => event).increment(1);
}

/// Connections that are kept for later requests.
fn idle_gauge() -> Gauge {
    gauge!("rhubarbcove_upstream_connections_idle")
}

/// Sends small writes at once, and notices a peer that is gone without a word.
fn watch_peer(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_interval(PROBE_INTERVAL)
        .with_time(PROBE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(DEAD_PEER_TIMEOUT))
}
