use super::*;

/// Timeout of a control request to an engine, such as a request for its load.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest response body of a control request.
const MAX_CONTROL_RESPONSE: ByteSize = ByteSize::new(64 * 1024);

/// Client for model engines. Sends OpenAI-style requests, and resumes or cancels them by attempt
/// id.
#[derive(Clone, Debug, Default)]
pub struct EngineAdapter {
    pool: ConnectionPool,
}

impl EngineAdapter {
    /// Creates an adapter that uses connections of this pool.
    pub const fn new(pool: ConnectionPool) -> Self {
        Self { pool }
    }

    /// Sends a request and waits for the head of the response.
    pub async fn start(
        &self,
        address: SocketAddr,
        call: &Call,
        head_timeout: Duration,
    ) -> Result<UpstreamResponse, CallFailure> {
        let request = service::request_builder(address, call)
            .header(PRIORITY_HEADER, call.priority.to_string());
        self.exchange(address, request, call.body.clone(), head_timeout)
            .await
    }

    /// Resumes the stream of an earlier attempt after the event with the id `last_event`.
    pub async fn resume(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        last_event: &str,
        head_timeout: Duration,
    ) -> Result<UpstreamResponse, CallFailure> {
        let request = Request::builder()
            .method(Method::GET)
            .uri(format!("/v1/streams/{attempt}"))
            .header("host", address.to_string())
            .header("last-event-id", last_event);
        self.exchange(address, request, Bytes::new(), head_timeout)
            .await
    }

    /// Asks an engine to stop processing an attempt. Errors are ignored, as the engine also detects
    /// that the stream was closed.
    pub async fn cancel(&self, address: SocketAddr, attempt: AttemptId) {
        let path = format!("/v1/cancel/{attempt}");
        let _ = self.send_control(Method::POST, address, &path).await;
    }

    /// Reads an engine's load report.
    pub async fn load(&self, address: SocketAddr) -> Option<LoadReport> {
        let body = self
            .send_control(Method::GET, address, "/load")
            .await
            .ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Requests the health check of an upstream. Returns the status and the headers, or `None`
    /// without a complete response. The check has a connection of its own: its response names no
    /// request, so one on a reused connection could be the response to an earlier request.
    pub async fn check_health(
        &self,
        to: &Destination,
        path: &str,
    ) -> Option<(StatusCode, HeaderMap)> {
        let request = control_request(Method::GET, to.address, path)
            .body(Full::new(Bytes::new()))
            .ok()?;
        let sender = self.pool.open(to).await.sender?;
        let sent = self.pool.send_on_new(sender, request, CONTROL_TIMEOUT);
        // The connection closes once the sender is dropped.
        let (response, _sender) = sent.await.ok()?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_CONTROL_RESPONSE.get() as usize).collect();
        timeout(CONTROL_TIMEOUT, body).await.ok()?.ok()?;
        Some((parts.status, parts.headers))
    }

    async fn send_control(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
    ) -> Result<Bytes, CallFailure> {
        let request = control_request(method, address, path);
        let response = self
            .exchange(address, request, Bytes::new(), CONTROL_TIMEOUT)
            .await?;
        if !response.status().is_success() {
            return Err(CallFailure::may_have_run(FailureCause::ErrorStatus));
        }
        response
            .collect(MAX_CONTROL_RESPONSE, CONTROL_TIMEOUT)
            .await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: hyper::http::request::Builder,
        body: Bytes,
        head_timeout: Duration,
    ) -> Result<UpstreamResponse, CallFailure> {
        service::exchange(&self.pool, address, request, body, head_timeout).await
    }
}

fn control_request(
    method: Method,
    address: SocketAddr,
    path: &str,
) -> hyper::http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
}
