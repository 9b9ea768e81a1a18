use super::*;

/// Largest accepted body of an operator's request.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Serves requests of operators: health checks, metrics, reports and configuration.
#[derive(Clone)]
pub(crate) struct OperatorService {
    pub(crate) clock: Clock,
    pub(crate) configuration: Arc<ArcSwapOption<VersionedDocument>>,
    pub(crate) statistics: Arc<Mutex<RequestStatistics>>,
    pub(crate) metrics: PrometheusHandle,
    /// Whether this service serves only the metrics, without authentication.
    pub(crate) only_metrics: bool,
    pub(crate) status: Arc<ArcSwap<HostStatus>>,
    /// Store to which patches are submitted; `None` if the configuration comes from an
    /// installation's directory.
    pub(crate) store: Option<ConfigStore>,
    pub(crate) token: Arc<String>,
}

type HttpAnswer = Response<AnswerBody>;

impl OperatorService {
    pub(crate) async fn answer(&self, request: Request<Incoming>) -> HttpAnswer {
        let method = request.method().clone();
        let path = request.uri().path().to_string();
        if self.only_metrics {
            return match (&method, path.as_str()) {
                (&Method::GET, "/metrics") => self.metrics(),
                _ => error_answer(StatusCode::NOT_FOUND, "not_found", "no such path"),
            };
        }
        match (&method, path.as_str()) {
            (&Method::GET, "/livez") => return text_answer(StatusCode::OK, "text/plain", "ok\n"),
            (&Method::GET, "/readyz") => return self.readiness(),
            _ => {}
        }
        if !self.is_operator(&request) {
            let message =
                "expected the header `Authorization: Bearer TOKEN` with the operator's token";
            return error_answer(StatusCode::UNAUTHORIZED, "not_an_operator", message);
        }
        match (&method, path.as_str()) {
            (&Method::GET, "/metrics") => self.metrics(),
            (&Method::GET, "/status") => json_answer(&**self.status.load()),
            (&Method::GET, "/report") => self.report(),
            (&Method::GET, "/config") => match self.configuration.load().as_ref() {
                Some(numbered) => json_answer(&**numbered),
                None => not_ready_answer(),
            },
            (&Method::POST, "/config/patches") => self.submit_patch(request).await,
            _ => error_answer(StatusCode::NOT_FOUND, "not_found", "no such path"),
        }
    }

    fn metrics(&self) -> HttpAnswer {
        let metrics = self.metrics.render();
        text_answer(StatusCode::OK, "text/plain; version=0.0.4", metrics)
    }

    fn readiness(&self) -> HttpAnswer {
        let status = self.status.load();
        match status.phase {
            HostPhase::Serving if status.current => {
                text_answer(StatusCode::OK, "text/plain", "ready\n")
            }
            _ => text_answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n"),
        }
    }

    /// Compares the token in constant time, so that the duration does not reveal matching bytes.
    fn is_operator(&self, request: &Request<Incoming>) -> bool {
        let presented = request
            .headers()
            .get(AUTHORIZATION)
            .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "))
            .unwrap_or_default();
        presented.ct_eq(self.token.as_bytes()).into()
    }

    fn report(&self) -> HttpAnswer {
        let Some(numbered) = self.configuration.load_full() else {
            return not_ready_answer();
        };
        let statistics = self
            .statistics
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        json_answer(&statistics.report(self.clock.now(), &numbered.document))
    }

    async fn submit_patch(&self, request: Request<Incoming>) -> HttpAnswer {
        let body = match Limited::new(request.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
        {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                return error_answer(StatusCode::BAD_REQUEST, "bad_body", &error.to_string());
            }
        };
        let patch: Patch = match serde_json::from_slice(&body) {
            Ok(patch) => patch,
            Err(error) => {
                return error_answer(StatusCode::BAD_REQUEST, "bad_patch", &error.to_string());
            }
        };
        let Some(store) = &self.store else {
            let message = "the configuration of this installation is changed at its own store";
            return error_answer(StatusCode::CONFLICT, "not_here", message);
        };
        match store.submit(&patch).await {
            Ok(version) => json_answer(&json!({ "version": version })),
            Err(error) => {
                let (status, code) = submit_error_status(&error);
                error_answer(status, code, &error.to_string())
            }
        }
    }
}

fn submit_error_status(error: &ConfigStoreError) -> (StatusCode, &'static str) {
    match error {
        ConfigStoreError::Invalid { .. } => (StatusCode::UNPROCESSABLE_ENTITY, "invalid"),
        ConfigStoreError::Missing => (StatusCode::NOT_FOUND, "missing"),
        ConfigStoreError::Platform { .. } => (StatusCode::SERVICE_UNAVAILABLE, "platform"),
        ConfigStoreError::Stale { .. } => (StatusCode::CONFLICT, "stale"),
        ConfigStoreError::OutcomeUnknown { .. } => (StatusCode::GATEWAY_TIMEOUT, "unknown"),
    }
}

fn error_answer(status: StatusCode, code: &str, message: &str) -> HttpAnswer {
    let body = json!({"error": {"code": code, "message": message}}).to_string();
    text_answer(status, "application/json", body)
}

fn not_ready_answer() -> HttpAnswer {
    let message = "the host has no configuration yet";
    error_answer(StatusCode::SERVICE_UNAVAILABLE, "not_ready", message)
}

fn json_answer<T: Serialize>(value: &T) -> HttpAnswer {
    match serde_json::to_string_pretty(value) {
        Ok(text) => text_answer(StatusCode::OK, "application/json", text),
        Err(error) => error_answer(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            &error.to_string(),
        ),
    }
}
