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

    /// Reads the list of hosts and upstreams, unless it is still the one with
    /// the tag `known`: then the answer is `None` and a hundred bytes long,
    /// where the list of a large fleet has tens of thousands.
    pub async fn hosts(&self, known: &str) -> Result<Option<TaggedList>, PlatformError> {
        let request = self.request(Method::GET, "/hosts", Bytes::new());
        let request = request.and_then(|mut request| {
            let tag = HeaderValue::from_str(known).map_err(not_done)?;
            request.headers_mut().insert(IF_NONE_MATCH, tag);
            Ok(request)
        })?;
        let (head, body) = self.send(request).await?;
        if head.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        check_status(head.status)?;
        let tag = head.headers.get(ETAG).and_then(|tag| tag.to_str().ok());
        Ok(Some(TaggedList {
            list: parse(&body)?,
            tag: tag.unwrap_or_default().to_string(),
        }))
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
        parse(&self.exchange(method, path, body.into()).await?)
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, PlatformError> {
        let request = self.request(method, path, body)?;
        let (head, body) = self.send(request).await?;
        check_status(head.status)?;
        Ok(body)
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, PlatformError> {
        Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(not_done)
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<(Parts, Bytes), PlatformError> {
        let deadline = Instant::now() + self.timeout;
        let mut sender = timeout_at(deadline, self.connection())
            .await
            .map_err(not_done)??;
        let exchange = async {
            let response = sender.send_request(request).await.map_err(lost)?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(lost)?;
            Ok::<_, PlatformError>((head, body.to_bytes()))
        };
        let answer = timeout_at(deadline, exchange).await.map_err(lost)??;
        self.keep(sender).await;
        Ok(answer)
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

fn parse<A: DeserializeOwned>(body: &[u8]) -> Result<A, PlatformError> {
    serde_json::from_slice(body).map_err(|error| PlatformError::Malformed {
        message: error.to_string(),
    })
}

fn check_status(status: StatusCode) -> Result<(), PlatformError> {
    match status {
        StatusCode::OK => Ok(()),
        status => Err(PlatformError::NotDone {
            message: format!("status {status}"),
        }),
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
