use super::*;

/// Connections kept open for later calls.
const MAX_IDLE: usize = 8;

/// A client of the platform's services.
#[derive(Debug)]
pub struct PlatformClient {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
    timeout: Duration,
}

impl PlatformClient {
    /// A client that gives each call at most `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            timeout,
        }
    }

    /// Writes to the table.
    pub async fn write(&self, batch: &TableBatch) -> Result<TableResults, PlatformError> {
        let results: TableResults = self.call(Method::POST, "/table/write", batch).await?;
        if results.results.len() != batch.operations.len() {
            return Err(PlatformError::Malformed {
                message: "wrong number of results".to_string(),
            });
        }
        Ok(results)
    }

    /// Reads rows of the table, in the order of the keys.
    pub async fn read(&self, keys: Vec<String>) -> Result<Vec<Option<Row>>, PlatformError> {
        let wanted = keys.len();
        let read = TableRead { keys };
        let rows: TableRows = self.call(Method::POST, "/table/read", &read).await?;
        if rows.rows.len() != wanted {
            return Err(PlatformError::Malformed {
                message: "wrong number of rows".to_string(),
            });
        }
        Ok(rows.rows)
    }

    /// Reads the list of hosts and upstreams.
    pub async fn hosts(&self) -> Result<HostList, PlatformError> {
        self.call(Method::GET, "/hosts", &()).await
    }

    /// Stores an object under a name, or replaces it.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<(), PlatformError> {
        self.exchange(Method::PUT, &format!("/objects/{name}"), body)
            .await
            .map(|_| ())
    }

    /// Reads an object.
    pub async fn get_object(&self, name: &str) -> Result<Bytes, PlatformError> {
        self.exchange(Method::GET, &format!("/objects/{name}"), Bytes::new())
            .await
    }

    async fn call<B: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<A, PlatformError> {
        let body = serde_json::to_vec(body).map_err(|error| PlatformError::NotDone {
            message: error.to_string(),
        })?;
        let answer = self.exchange(method, path, body.into()).await?;
        serde_json::from_slice(&answer).map_err(|error| PlatformError::Malformed {
            message: error.to_string(),
        })
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, PlatformError> {
        let deadline = Instant::now() + self.timeout;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(not_done)?;
        let mut sender = timeout_at(deadline, self.connection())
            .await
            .map_err(not_done)??;
        let exchange = async {
            let response = sender.send_request(request).await.map_err(lost)?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(lost)?;
            Ok::<_, PlatformError>((status, body.to_bytes()))
        };
        let (status, body) = timeout_at(deadline, exchange).await.map_err(lost)??;
        self.keep(sender).await;
        match status {
            StatusCode::OK => Ok(body),
            status => Err(PlatformError::NotDone {
                message: format!("status {status}"),
            }),
        }
    }

    async fn connection(&self) -> Result<SendRequest<Full<Bytes>>, PlatformError> {
        while let Some(mut sender) = self.idle.lock().await.pop() {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(self.address).await.map_err(not_done)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(not_done)?;
        // Ends by itself when the sender is dropped or the platform closes.
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn keep(&self, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().await;
        if idle.len() < MAX_IDLE {
            idle.push(sender);
        }
    }
}

fn not_done(error: impl Display) -> PlatformError {
    PlatformError::NotDone {
        message: error.to_string(),
    }
}

fn lost(error: impl Display) -> PlatformError {
    PlatformError::AnswerLost {
        message: error.to_string(),
    }
}
