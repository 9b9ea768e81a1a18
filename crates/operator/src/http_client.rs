use super::*;

/// Maximum number of idle connections kept for each address.
const MAX_IDLE_PER_ADDRESS: usize = 256;

type Sender = SendRequest<Full<Bytes>>;

/// An HTTP/1.1 client that reuses idle connections.
#[derive(Clone, Debug, Default)]
pub struct HttpClient {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Sender>>>>,
}

impl HttpClient {
    /// Sends a request. Returns the response with its connection, which the caller
    /// can give to [`Self::return_idle`] after the body has been read.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> eyre::Result<(Response<Incoming>, SendRequest<Full<Bytes>>)> {
        let mut request = request;
        while let Some(mut sender) = self.take_idle(address) {
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, sender)),
                Err(mut error) => match error.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(error.into_error().into()),
                },
            }
        }
        let stream = TcpStream::connect(address)
            .await
            .wrap_err_with(|| format!("cannot connect to {address}"))?;
        stream.set_nodelay(true)?;
        let (mut sender, connection) = handshake(TokioIo::new(stream)).await?;
        // The task ends when the sender is dropped or the peer closes the connection.
        tokio::spawn(connection);
        let response = sender.send_request(request).await?;
        Ok((response, sender))
    }

    /// Sends a request and reads the complete response.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> eyre::Result<(StatusCode, Bytes)> {
        let (response, sender) = self.send(address, request).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        self.return_idle(address, sender);
        Ok((status, body))
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

    /// Makes a connection available for reuse. The previous response must have been
    /// read to its end.
    pub fn return_idle(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry(address).or_default();
        if senders.len() < MAX_IDLE_PER_ADDRESS {
            senders.push(sender);
        }
    }
}
