use super::*;

/// Most idle connections that are kept to an upstream over each path.
const MAX_IDLE_PER_PATH: usize = 64;

/// Timeout for connecting. A TCP handshake takes a few milliseconds. An upstream that lost power
/// responds to none, so each request to it waits for this whole time.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Failure of a request for which no connection could be established.
pub const NO_CONNECTION: CallFailure = CallFailure::not_run(FailureCause::Connect);

/// How long sent bytes or keep-alive probes can stay unacknowledged before the connection is
/// closed. Without this limit, a connection to an upstream that lost power hangs for minutes.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time without traffic after which a keep-alive probe is sent, and the time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// A connection that is kept open for the next request.
#[derive(Debug)]
struct IdleConnection {
    expires: Instant,
    sender: UpstreamSender,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.expires && !self.sender.sender.is_closed()
    }
}

/// Idle connections by the address of the upstream and the path to it.
type IdleConnections = HashMap<(SocketAddr, Path), Vec<IdleConnection>>;

/// A pool of connections to upstreams, which are kept open between calls.
///
/// An upstream can close an idle connection at the moment at which a request is written to it. Only
/// the HTTP library knows whether the request was sent: the library returns the request if writing
/// has not begun. This is the only case that counts as `not-run` here. Every other failure on an
/// established connection is `may-have-run`.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    idle: Arc<Mutex<IdleConnections>>,
    /// Number of the next connection.
    next_connection: Arc<AtomicU64>,
    /// Tasks that drive the connections. They are aborted when the last clone of the pool is
    /// dropped.
    tasks: Arc<Mutex<JoinSet<()>>>,
    /// Token with which this host authenticates to other hosts. Without a token, no connection is
    /// opened through other hosts.
    token: Option<Arc<str>>,
}

impl ConnectionPool {
    /// Opens a connection outside the pool, on which this host sends no requests of its own.
    pub async fn connect_directly(address: SocketAddr) -> Result<TcpStream, PathOutcome> {
        open_stream(address).await
    }

    /// Creates a pool that can also connect through other hosts, and sends this token to them.
    pub fn with_token(token: &str) -> Self {
        Self {
            token: Some(token.into()),
            ..Self::default()
        }
    }

    /// Sends a request over an idle connection, or over a new one if none is idle, and waits for
    /// the head of the response.
    pub async fn send(
        &self,
        to: &Destination,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<(Response<Incoming>, UpstreamSender), CallFailure> {
        let request = match self.send_on_idle(to, &[], request, head_timeout).await {
            ReuseResult::Sent(sent) => return sent,
            ReuseResult::Unsent(request) => request,
        };
        let opened = self.open(to).await;
        let sender = opened.sender.ok_or(NO_CONNECTION)?;
        self.send_on_new(sender, request, head_timeout).await
    }

    /// Sends a request over an idle connection, if there is one, and waits for the head of the
    /// response. The connections in `excluded` are not used.
    pub async fn send_on_idle(
        &self,
        to: &Destination,
        excluded: &[ConnectionId],
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> ReuseResult {
        let mut request = request;
        for path in to.preferred_paths() {
            while let Some(sender) = self.take_idle(to.address, path, excluded) {
                match Self::try_send(sender, request, head_timeout).await {
                    Ok(response_and_sender) => {
                        count_event("reused");
                        return ReuseResult::Sent(Ok(response_and_sender));
                    }
                    // The connection was already closed, so nothing was written.
                    Err((_, Some(unsent))) => request = unsent,
                    Err((failure, None)) => return ReuseResult::Sent(Err(failure)),
                }
            }
        }
        ReuseResult::Unsent(request)
    }

    /// Sends a request over a new connection and waits for the head of the response.
    pub async fn send_on_new(
        &self,
        sender: UpstreamSender,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<(Response<Incoming>, UpstreamSender), CallFailure> {
        let sent = Self::try_send(sender, request, head_timeout).await;
        sent.map_err(|(failure, _)| failure)
    }

    /// Opens a connection over the path that connects first.
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
        mut request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<(Response<Incoming>, UpstreamSender), (CallFailure, Option<Request<Full<Bytes>>>)>
    {
        let limit = InterimLimit::attach(&mut request);
        sender.requests_sent += 1;
        let sending = timeout(head_timeout, sender.sender.try_send_request(request));
        let sent = tokio::select! {
            sent = sending => sent,
            () = limit.exceeded() => {
                return Err((CallFailure::may_have_run(FailureCause::Truncated), None));
            }
        };
        match sent {
            Ok(Ok(response)) if is_final_status(response.status()) => Ok((response, sender)),
            Ok(Ok(_)) => Err((CallFailure::may_have_run(FailureCause::Truncated), None)),
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
        let (sender, connection) = handshake(TokioIo::new(TurnLimit::new(stream))).await.ok()?;
        let mut tasks = lock(&self.tasks);
        while tasks.try_join_next().is_some() {}
        tasks.spawn(async move {
            // The result is ignored: the request that uses the connection is notified of errors.
            let _ = connection.await;
        });
        let number = self.next_connection.fetch_add(1, Ordering::Relaxed);
        Some(UpstreamSender {
            id: ConnectionId::new(number),
            opened: Instant::now(),
            path,
            requests_sent: 0,
            sender,
        })
    }

    /// Takes the connection that was returned last and is not excluded.
    fn take_idle(
        &self,
        address: SocketAddr,
        path: Path,
        excluded: &[ConnectionId],
    ) -> Option<UpstreamSender> {
        let mut idle = lock(&self.idle);
        let senders = idle.get_mut(&(address, path))?;
        let now = Instant::now();
        loop {
            let is_allowed = |idle: &IdleConnection| !excluded.contains(&idle.sender.id);
            let idle = senders.remove(senders.iter().rposition(is_allowed)?);
            idle_gauge().decrement(1);
            if idle.is_usable(now) && idle.sender.sender.is_ready() {
                return Some(idle.sender);
            }
        }
    }

    /// Closes idle connections that have expired, including connections over paths that are no
    /// longer used.
    fn drop_expired(&self) {
        let now = Instant::now();
        lock(&self.idle).retain(|_, senders| {
            let before = senders.len() as f64;
            senders.retain(|idle| idle.is_usable(now));
            idle_gauge().decrement(before - senders.len() as f64);
            !senders.is_empty()
        });
    }

    /// Returns a connection to the pool after its response has been read completely. `keep_for` is
    /// the time for which the upstream is not expected to close the connection.
    pub fn keep(&self, address: SocketAddr, sender: UpstreamSender, keep_for: Duration) {
        let now = Instant::now();
        let mut idle = lock(&self.idle);
        let senders = idle.entry((address, sender.path)).or_default();
        let before = senders.len() as f64;
        senders.retain(|idle| idle.is_usable(now));
        if senders.len() < MAX_IDLE_PER_PATH {
            let expires = now + keep_for;
            senders.push(IdleConnection { expires, sender });
        }
        idle_gauge().increment(senders.len() as f64 - before);
    }
}

/// Whether a response with this status can be the final one to a request that asks for no upgrade.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts whether a connection was reused, opened or could not be opened.
fn count_event(event: &'static str) {
    counter!("rhubarbcove_upstream_connections_total", "event" => event).increment(1);
}

/// Gauge of the idle connections in all pools.
fn idle_gauge() -> Gauge {
    gauge!("rhubarbcove_upstream_connections_idle")
}

/// Opens a TCP connection directly from this host.
pub(crate) async fn open_stream(address: SocketAddr) -> Result<TcpStream, PathOutcome> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|_| PathOutcome::Refused)?;
    set_socket_options(&stream).map_err(|_| PathOutcome::Refused)?;
    Ok(stream)
}

/// Makes small writes immediate, and detects a peer that disappears without closing the
/// connection.
fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_interval(KEEPALIVE_INTERVAL)
        .with_time(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(DEAD_PEER_TIMEOUT))
}
