use super::*;

/// Time for a short question to an engine, such as its load.
const SHORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer to a short question.
const MAX_SHORT_ANSWER: ByteSize = ByteSize::new(64 * 1024);

/// Speaks to model engines: OpenAI-style requests, with resumption and
/// cancellation by attempt id.
#[derive(Clone, Debug, Default)]
pub struct EngineAdapter {
    connections: Connections,
}

impl EngineAdapter {
    /// An adapter over these connections.
    pub const fn new(connections: Connections) -> Self {
        Self { connections }
    }

    /// Sends a request.
    pub async fn start(
        &self,
        address: SocketAddr,
        call: &Call,
        head_timeout: Duration,
    ) -> Result<Answer, CallFailure> {
        let request = service::request_builder(address, call)
            .header(PRIORITY_HEADER, call.priority.to_string());
        self.exchange(address, request, call.body.clone(), head_timeout)
            .await
    }

    /// Resumes the stream of an earlier attempt after an event.
    pub async fn resume(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        last_event: &str,
        head_timeout: Duration,
    ) -> Result<Answer, CallFailure> {
        let request = Request::builder()
            .method(Method::GET)
            .uri(format!("/v1/streams/{attempt}"))
            .header("host", address.to_string())
            .header("last-event-id", last_event);
        self.exchange(address, request, Bytes::new(), head_timeout)
            .await
    }

    /// Asks an engine to stop work on an attempt. Best effort: the engine
    /// notices the closed stream too.
    pub async fn cancel(&self, address: SocketAddr, attempt: AttemptId) {
        let path = format!("/v1/cancel/{attempt}");
        let _ = self.short(Method::POST, address, &path).await;
    }

    /// Reads an engine's load report.
    pub async fn load(&self, address: SocketAddr) -> Option<LoadReport> {
        let body = self.short(Method::GET, address, "/load").await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Asks an upstream's health check; the head of its answer, `None` without a whole one.
    pub async fn check_health(
        &self,
        to: &Destination,
        path: &str,
    ) -> Option<(StatusCode, HeaderMap)> {
        let request = short_request(Method::GET, to.address, path)
            .body(Full::new(Bytes::new()))
            .ok()?;
        let sent = self.connections.send(to, request, SHORT_TIMEOUT);
        let (response, sender) = sent.await.ok()?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_SHORT_ANSWER.get() as usize).collect();
        timeout(SHORT_TIMEOUT, body).await.ok()?.ok()?;
        self.connections.keep(to.address, sender, answer::IDLE_TIME);
        Some((parts.status, parts.headers))
    }

    async fn short(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
    ) -> Result<Bytes, CallFailure> {
        let request = short_request(method, address, path);
        let answer = self
            .exchange(address, request, Bytes::new(), SHORT_TIMEOUT)
            .await?;
        if !answer.status().is_success() {
            return Err(CallFailure::may_have_run(FailureCause::ErrorStatus));
        }
        answer.collect(MAX_SHORT_ANSWER, SHORT_TIMEOUT).await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: hyper::http::request::Builder,
        body: Bytes,
        head_timeout: Duration,
    ) -> Result<Answer, CallFailure> {
        service::exchange(&self.connections, address, request, body, head_timeout).await
    }
}

fn short_request(method: Method, address: SocketAddr, path: &str) -> hyper::http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
}
