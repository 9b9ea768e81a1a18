use super::*;

/// Maximum number of idle connections kept open for later calls.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// A client of the platform's services.
#[derive(Debug)]
pub struct PlatformClient {
    client: EndpointClient,
    timeout: Duration,
}

impl PlatformClient {
    /// Creates a client. The head of each response must arrive within `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            client: EndpointClient::new(address, MAX_IDLE_CONNECTIONS),
            timeout,
        }
    }

    /// Writes a batch to the table.
    pub async fn write(&self, batch: &TableBatch) -> Result<TableResults, PlatformError> {
        let results: TableResults = self.call(Method::POST, "/table/write", batch).await?;
        if results.results.len() != batch.operations.len() {
            return Err(PlatformError::Malformed {
                message: "wrong number of results".to_string(),
            });
        }
        Ok(results)
    }

    /// Reads rows of the table and returns them in the order of the keys.
    pub async fn read(&self, keys: Vec<String>) -> Result<Vec<Option<Row>>, PlatformError> {
        let expected = keys.len();
        let read = TableRead { keys };
        let rows: TableRows = self.call(Method::POST, "/table/read", &read).await?;
        if rows.rows.len() != expected {
            return Err(PlatformError::Malformed {
                message: "wrong number of rows".to_string(),
            });
        }
        Ok(rows.rows)
    }

    /// Reads the list of hosts and upstreams. Returns `None` if the list still has the entity tag
    /// `known_tag`: such a response takes about 100 bytes, while the list of a large fleet takes
    /// tens of thousands.
    pub async fn host_list_if_changed(
        &self,
        known_tag: &str,
    ) -> Result<Option<TaggedHostList>, PlatformError> {
        let request = request(Method::GET, "/hosts", Bytes::new());
        let request = request.and_then(|mut request| {
            let tag = HeaderValue::from_str(known_tag).map_err(not_executed)?;
            request.headers_mut().insert(IF_NONE_MATCH, tag);
            Ok(request)
        })?;
        let (head, body) = self.client.exchange(request, self.timeout).await?;
        if head.status == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        check_status(head.status)?;
        let tag = head.headers.get(ETAG).and_then(|tag| tag.to_str().ok());
        Ok(Some(TaggedHostList {
            list: parse(&body)?,
            tag: tag.unwrap_or_default().to_string(),
        }))
    }

    async fn call<B: Serialize, A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<A, PlatformError> {
        let body = serde_json::to_vec(body).map_err(|error| PlatformError::NotExecuted {
            message: error.to_string(),
        })?;
        let request = request(method, path, body.into())?;
        let (head, body) = self.client.exchange(request, self.timeout).await?;
        check_status(head.status)?;
        parse(&body)
    }
}

fn request(method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>, PlatformError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(not_executed)
}

fn parse<A: DeserializeOwned>(body: &[u8]) -> Result<A, PlatformError> {
    serde_json::from_slice(body).map_err(|error| PlatformError::Malformed {
        message: error.to_string(),
    })
}

fn check_status(status: StatusCode) -> Result<(), PlatformError> {
    match status {
        StatusCode::OK => Ok(()),
        status => Err(PlatformError::NotExecuted {
            message: format!("status {status}"),
        }),
    }
}
