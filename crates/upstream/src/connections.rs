use super::*;

/// Idle connections kept for each upstream.
const MAX_IDLE: usize = 64;

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

type Sender = SendRequest<Full<Bytes>>;

/// Connections to upstreams, kept open between calls.
///
/// What goes wrong with a kept connection: the upstream closes it at the very
/// moment at which a request is written. Whether the request left is known to
/// the HTTP library alone: it hands the request back if it has not begun to
/// write it, and that is the only case that counts as `not-run` here.
/// Everything else after a connection stands is `may-have-run`.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl Connections {
    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<(Response<Incoming>, Sender), CallFailure> {
        let mut request = request;
        while let Some(mut sender) = self.take_idle(address) {
            match Self::try_send(&mut sender, request, head_timeout).await {
                Ok(response) => return Ok((response, sender)),
                // The connection had been closed: nothing was written.
                Err((_, Some(unsent))) => request = unsent,
                Err((failure, None)) => return Err(failure),
            }
        }
        let mut sender = Self::connect(address).await?;
        match Self::try_send(&mut sender, request, head_timeout).await {
            Ok(response) => Ok((response, sender)),
            Err((failure, _)) => Err(failure),
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

    async fn connect(address: SocketAddr) -> Result<Sender, CallFailure> {
        let failure = CallFailure::not_run(FailureCause::Connect);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| failure)?
            .map_err(|_| failure)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| failure)?;
        // Ends by itself when the sender is dropped or the upstream closes.
        tokio::spawn(connection);
        Ok(sender)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&address)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() && !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    /// Keeps a connection whose answer has been read to its end.
    pub(crate) fn keep(&self, address: SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry(address).or_default();
        if senders.len() < MAX_IDLE {
            senders.push(sender);
        }
    }
}
