use super::*;

struct ServiceState {
    faults: Mutex<ServiceFaults>,
    log: RunLog,
    name: String,
}

/// A stand-in for a plain service, which logs every run with the tag in the request
/// body.
pub struct ServiceStandin {
    server: Server,
    state: Arc<ServiceState>,
}

#[derive(Debug, Default, Deserialize)]
struct ServiceRequest {
    #[serde(default)]
    tag: String,
}

impl ServiceStandin {
    /// Starts a service. `name` is its name in the run log.
    pub async fn start(address: SocketAddr, name: &str, log: RunLog) -> io::Result<Self> {
        let state = Arc::new(ServiceState {
            faults: Mutex::default(),
            log,
            name: name.to_string(),
        });
        let handler_state = Arc::clone(&state);
        let handler = move |request| -> BoxFuture<'static, HandlerResult> {
            Box::pin(handle(Arc::clone(&handler_state), request))
        };
        let server = Server::start(address, handler).await?;
        Ok(Self { server, state })
    }

    /// The address that the service listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults of the service.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Stops the service at once and closes its connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn handle(state: Arc<ServiceState>, request: Request<Incoming>) -> HandlerResult {
    match request.uri().path() {
        "/health" => return Ok(empty_response(StatusCode::OK)),
        "/standin/runs" => return Ok(json_response(&state.log.runs())),
        "/standin/faults" => {
            return Ok(match read_json(request).await {
                Ok(faults) => {
                    *lock(&state.faults) = faults;
                    empty_response(StatusCode::OK)
                }
                Err(response) => response,
            });
        }
        _ => {}
    }
    run_request(&state, request).await
}

async fn run_request(state: &ServiceState, request: Request<Incoming>) -> HandlerResult {
    let faults = lock(&state.faults).clone();
    let attempt = request
        .headers()
        .get(ATTEMPT_HEADER)
        .and_then(|value| value.to_str().ok())
        .map(str::to_string);
    let body = read_body(request).await?;
    let wanted: ServiceRequest = serde_json::from_slice(&body).unwrap_or_default();
    if faults.reset_before_run {
        return Err(ConnectionCut);
    }
    if faults.refuse {
        let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
        response.headers_mut().insert(
            NOT_RUN_HEADER,
            hyper::header::HeaderValue::from_static("true"),
        );
        return Ok(response);
    }
    let run = state
        .log
        .start(&state.name, &wanted.tag, attempt, state.log.now_ms());
    sleep(Duration::from_millis(faults.delay_ms)).await;
    state.log.add_tokens(run, 1);
    state.log.finish(run);
    if faults.reset_after_run {
        return Err(ConnectionCut);
    }
    Ok(response(&wanted.tag, &faults))
}

fn response(tag: &str, faults: &ServiceFaults) -> Response<Body> {
    let text = json!({"done": true, "tag": tag}).to_string();
    if faults.half_answer {
        let half = Bytes::from(text[..text.len() / 2].to_string());
        let frames = stream::iter([Ok(Frame::data(half)), Err(ConnectionCut)]);
        return Response::new(StreamBody::new(frames).boxed_unsync());
    }
    let mut response = json_response(&json!({"done": true, "tag": tag}));
    if let Some(status) = faults
        .status
        .and_then(|code| StatusCode::from_u16(code).ok())
    {
        *response.status_mut() = status;
    }
    if faults.close_after_answer {
        // HTTP/1.0 connections are not persistent by default, so the server closes the
        // connection without announcing the close in a header.
        *response.version_mut() = hyper::Version::HTTP_10;
    }
    response
}
