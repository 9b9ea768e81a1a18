use super::*;

/// Idle connections kept for each upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 64;

/// Longest time to connect. A handshake takes a few milliseconds; an upstream
/// that lost its power answers none, and each request would wait this long.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Failure of a request for which no connection could be made.
pub const NO_CONNECTION: CallFailure = CallFailure::not_run(FailureCause::Connect);

/// Time after which bytes that were sent and not acknowledged end a connection,
/// and in which a silent peer must answer a keep-alive probe. Without it, a
/// connection to an upstream that lost its power hangs for minutes.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Silence after which a keep-alive probe is sent, and the time between two.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

type Sender = SendRequest<Full<Bytes>>;

/// A connection that is kept for the next request.
#[derive(Debug)]
struct IdleConnection {
    expires: Instant,
    sender: Sender,
}

/// By where an upstream listens, and the path to it.
type IdleConnections = HashMap<(SocketAddr, Path), Vec<IdleConnection>>;

/// Connections to upstreams, kept open between calls.
///
/// What goes wrong with a kept connection: the upstream closes it at the very
/// moment at which a request is written. Whether the request left is known to
/// the HTTP library alone: it hands the request back if it has not begun to
/// write it, and that is the only case that counts as `not-run` here.
/// Everything else after a connection stands is `may-have-run`.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    idle: Arc<Mutex<IdleConnections>>,
    /// The tasks that drive the connections; they end with the last clone.
    tasks: Arc<Mutex<JoinSet<()>>>,
    /// By which other hosts know this one; without it no path leads through them.
    token: Option<Arc<str>>,
}

impl ConnectionPool {
    /// Opens a connection that carries no requests of this host's own.
    pub async fn connect_directly(address: SocketAddr) -> Result<TcpStream, PathOutcome> {
        open_stream(address).await
    }

    /// Connections of a host that other hosts open connections for.
    pub fn with_token(token: &str) -> Self {
        Self {
            token: Some(token.into()),
            ..Self::default()
        }
    }

    /// Sends a request, over a kept connection if there is one, and waits for the head of the
    /// answer.
    pub async fn send(
        &self,
        to: &Destination,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<(Response<Incoming>, UpstreamSender), CallFailure> {
        let request = match self.send_on_idle(to, request, head_timeout).await {
            ReuseResult::Sent(sent) => return sent,
            ReuseResult::Unsent(request) => request,
        };
        let opened = self.open(to).await;
        let sender = opened.sender.ok_or(NO_CONNECTION)?;
        self.send_on_new(sender, request, head_timeout).await
    }

    /// Sends a request over a kept connection, and waits for the head of the answer.
    pub async fn send_on_idle(
        &self,
        to: &Destination,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> ReuseResult {
        let mut request = request;
        for path in to.preferred_paths() {
            while let Some(sender) = self.take_idle(to.address, path) {
                match Self::try_send(sender, request, head_timeout).await {
                    Ok(answered) => {
                        count_event("reused");
                        return ReuseResult::Sent(Ok(answered));
                    }
                    // The connection had been closed: nothing was written.
                    Err((_, Some(unsent))) => request = unsent,
                    Err((failure, None)) => return ReuseResult::Sent(Err(failure)),
                }
            }
        }
        ReuseResult::Unsent(request)
    }

    /// Sends a request over a new connection, and waits for the head of the answer.
    pub async fn send_on_new(
        &self,
        sender: UpstreamSender,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<(Response<Incoming>, UpstreamSender), CallFailure> {
        let sent = Self::try_send(sender, request, head_timeout).await;
        sent.map_err(|(failure, _)| failure)
    }

    /// Opens a connection over the first path that connects.
    pub async fn open(&self, to: &Destination) -> OpenResult {
        self.drop_expired();
        let connect = |path| self.connect(to, path);
        let (connected, attempts) = open_first(&to.paths, CONNECT_TIMEOUT, connect).await;
        let sender = match connected {
            Some((path, stream)) => self.start_http(path, stream).await,
            None => None,
        };
        count_event(if sender.is_some() { "opened" } else { "failed" });
        OpenResult { sender, attempts }
    }

    async fn try_send(
        mut sender: UpstreamSender,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<(Response<Incoming>, UpstreamSender), (CallFailure, Option<Request<Full<Bytes>>>)>
    {
        match timeout(head_timeout, sender.sender.try_send_request(request)).await {
            Ok(Ok(response)) => Ok((response, sender)),
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

    async fn connect(&self, to: &Destination, path: Path) -> Result<TcpStream, PathOutcome> {
        match (path, &self.token, &to.upstream) {
            (Path::Direct, ..) => open_stream(to.address).await,
            (Path::Through(host), Some(token), Some(upstream)) => {
                connect_through(host, token, upstream).await
            }
            (Path::Through(_), ..) => Err(PathOutcome::Declined),
        }
    }

    async fn start_http(&self, path: Path, stream: TcpStream) -> Option<UpstreamSender> {
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        let mut tasks = lock(&self.tasks);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(async move {
            // Whatever ends it, the request that uses it is notified.
            let _ = connection.await;
        });
        Some(UpstreamSender { path, sender })
    }

    fn take_idle(&self, address: SocketAddr, path: Path) -> Option<UpstreamSender> {
        let mut idle = lock(&self.idle);
        let senders = idle.get_mut(&(address, path))?;
        let now = Instant::now();
        while let Some(IdleConnection { expires, sender }) = senders.pop() {
            idle_gauge().decrement(1);
            if now < expires && sender.is_ready() && !sender.is_closed() {
                return Some(UpstreamSender { path, sender });
            }
        }
        None
    }

    /// Closes connections that were kept for their time, those over paths that are not used any
    /// more among them.
    fn drop_expired(&self) {
        let now = Instant::now();
        lock(&self.idle).retain(|_, senders| {
            let before = senders.len() as f64;
            senders.retain(|idle| now < idle.expires && !idle.sender.is_closed());
            idle_gauge().decrement(before - senders.len() as f64);
            !senders.is_empty()
        });
    }

    /// Keeps a connection whose answer has been read to its end, for a time in
    /// which the upstream is not expected to close it.
    pub fn keep(&self, address: SocketAddr, sender: UpstreamSender, keep_for: Duration) {
        let UpstreamSender { path, sender } = sender;
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        let senders = idle.entry((address, path)).or_default();
        let before = senders.len() as f64;
        senders.retain(|idle| now < idle.expires && !idle.sender.is_closed());
        if senders.len() < MAX_IDLE_PER_UPSTREAM {
            let expires = now + keep_for;
            senders.push(IdleConnection { expires, sender });
        }
        idle_gauge().increment(senders.len() as f64 - before);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts what became of a connection that was wanted.
fn count_event(event: &'static str) {
    counter!("rhubarbcove_upstream_connections_total", "event" => event).increment(1);
}

/// Connections that are kept for later requests.
fn idle_gauge() -> Gauge {
    gauge!("rhubarbcove_upstream_connections_idle")
}

/// Opens a connection of this host's own.
pub(crate) async fn open_stream(address: SocketAddr) -> Result<TcpStream, PathOutcome> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|_| PathOutcome::Refused)?;
    set_socket_options(&stream).map_err(|_| PathOutcome::Refused)?;
    Ok(stream)
}

/// Sends small writes at once, and notices a peer that is gone without a word.
fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_interval(KEEPALIVE_INTERVAL)
        .with_time(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(DEAD_PEER_TIMEOUT))
}
