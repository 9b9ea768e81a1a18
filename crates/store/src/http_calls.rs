use super::*;

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Calls over HTTP to one address, by connections that are kept for later calls.
///
/// A connection on which an answer was lost is never used again: that answer may
/// still come, and would be taken for the next one's.
#[derive(Debug)]
pub struct HttpCalls {
    address: SocketAddr,
    /// The tasks that drive the connections; they end with this value.
    connections: Mutex<JoinSet<()>>,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    max_idle: usize,
}

impl HttpCalls {
    /// Calls to an address that keep so many connections.
    pub fn new(address: SocketAddr, max_idle: usize) -> Self {
        Self {
            address,
            connections: Mutex::default(),
            idle: Mutex::default(),
            max_idle,
        }
    }

    /// Sends a request and reads the whole answer, within `limit`.
    pub async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<(Parts, Bytes), PlatformError> {
        let deadline = Instant::now() + limit;
        let host = HeaderValue::from_str(&self.address.to_string()).map_err(not_done)?;
        request.headers_mut().insert(HOST, host);
        let mut sender = timeout_at(deadline, self.connection())
            .await
            .map_err(not_done)??;
        let mut progress = Progress::default();
        let exchange = async {
            let response = sender.send_request(request).await.map_err(lost)?;
            let (head, body) = response.into_parts();
            let body = progress.read(body).await?;
            Ok::<_, PlatformError>((head, body))
        };
        let answer = timeout_at(deadline, exchange).await;
        let answer = answer.map_err(|_| progress.lost("not whole in time"))??;
        self.keep(sender);
        Ok(answer)
    }

    async fn connection(&self) -> Result<SendRequest<Full<Bytes>>, PlatformError> {
        while let Some(mut sender) = self.take_idle() {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .map_err(not_done)?
            .map_err(not_done)?;
        stream.set_nodelay(true).map_err(not_done)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(not_done)?;
        let mut connections = lock(&self.connections);
        while connections.try_join_next().is_some() {}
        connections.spawn(async move {
            // Whatever ends it, the call that uses it is told.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        lock(&self.idle).pop()
    }

    fn keep(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = lock(&self.idle);
        if idle.len() < self.max_idle {
            idle.push(sender);
        }
    }
}

/// How much of an answer has come.
#[derive(Debug, Default)]
struct Progress {
    /// Length of the answer, if its head told one.
    announced: Option<u64>,
    received: u64,
}

impl Progress {
    async fn read(&mut self, mut body: Incoming) -> Result<Bytes, PlatformError> {
        self.announced = body.size_hint().exact();
        let mut parts = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| self.lost(error))?;
            if let Ok(data) = frame.into_data() {
                self.received += data.len() as u64;
                parts.extend_from_slice(&data);
            }
        }
        Ok(parts.freeze())
    }

    /// An answer that did not come whole: the message tells a slow one, most of which
    /// is here, from one that never began.
    fn lost(&self, cause: impl Display) -> PlatformError {
        let received = self.received;
        let announced = self.announced.map(|bytes| format!(" of {bytes}"));
        let announced = announced.unwrap_or_default();
        lost(format!("{cause}, {received}{announced} bytes came"))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) fn not_done(error: impl Display) -> PlatformError {
    PlatformError::NotDone {
        message: error.to_string(),
    }
}

fn lost(error: impl Display) -> PlatformError {
    PlatformError::AnswerLost {
        message: error.to_string(),
    }
}
