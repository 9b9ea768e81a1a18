use super::*;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// An HTTP client for one address that keeps idle connections for later calls.
///
/// A connection is not reused after a response on it was lost: the late response could still
/// arrive and would be mistaken for the response to the next request.
#[derive(Debug)]
pub struct EndpointClient {
    address: SocketAddr,
    /// Tasks that drive the connections. They are aborted when the client is dropped.
    connection_tasks: Mutex<JoinSet<()>>,
    idle_connections: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    max_idle_connections: usize,
    reset_on_close: bool,
}

impl EndpointClient {
    /// Creates a client that keeps at most `max_idle_connections` idle connections.
    pub fn new(address: SocketAddr, max_idle_connections: usize) -> Self {
        Self {
            address,
            connection_tasks: Mutex::default(),
            idle_connections: Mutex::default(),
            max_idle_connections,
            reset_on_close: false,
        }
    }

    /// Makes the client reset its connections instead of closing them gracefully, so that bytes of
    /// an abandoned call do not arrive later.
    #[must_use]
    pub fn with_reset_on_close(self) -> Self {
        Self {
            reset_on_close: true,
            ..self
        }
    }

    /// Sends a request and reads the whole response. The head must arrive within `head_timeout`;
    /// the time limit for the body depends on the bytes that arrive, see [`PendingResponse`].
    pub async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<(Parts, Bytes), PlatformError> {
        self.send(request, head_timeout).await?.read_body().await
    }

    /// Sends a request and waits up to `head_timeout` for the head of the response.
    pub async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<PendingResponse<'_>, PlatformError> {
        let deadline = Instant::now() + head_timeout;
        let host = HeaderValue::from_str(&self.address.to_string()).map_err(not_executed)?;
        request.headers_mut().insert(HOST, host);
        let mut sender = timeout_at(deadline, self.ready_connection())
            .await
            .map_err(not_executed)??;
        let response = timeout_at(deadline, sender.send_request(request)).await;
        let response = response.map_err(response_lost)?.map_err(response_lost)?;
        Ok(PendingResponse::new(self, sender, response))
    }

    async fn ready_connection(&self) -> Result<SendRequest<Full<Bytes>>, PlatformError> {
        while let Some(mut sender) = self.take_idle_connection() {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(not_executed)?
            .map_err(not_executed)?;
        stream.set_nodelay(true).map_err(not_executed)?;
        if self.reset_on_close {
            let socket = SockRef::from(&stream);
            socket
                .set_linger(Some(Duration::ZERO))
                .map_err(not_executed)?;
        }
        let (sender, connection) = handshake(TokioIo::new(TurnLimit::new(stream)))
            .await
            .map_err(not_executed)?;
        let mut connection_tasks = lock(&self.connection_tasks);
        while connection_tasks.try_join_next().is_some() {}
        connection_tasks.spawn(async move {
            // An error needs no handling here: the call that uses the connection fails with it.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle_connection(&self) -> Option<SendRequest<Full<Bytes>>> {
        lock(&self.idle_connections).pop()
    }

    pub(crate) fn return_connection(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle_connections = lock(&self.idle_connections);
        if idle_connections.len() < self.max_idle_connections {
            idle_connections.push(sender);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn not_executed(error: impl Display) -> PlatformError {
    PlatformError::NotExecuted {
        message: error.to_string(),
    }
}

pub(crate) fn response_lost(error: impl Display) -> PlatformError {
    PlatformError::ResponseLost {
        message: error.to_string(),
    }
}
