use super::*;

#[derive(Default)]
struct PlatformState {
    faults: Mutex<PlatformFaults>,
    hosts: Mutex<HostList>,
    objects: Mutex<HashMap<String, Bytes>>,
    reads: Mutex<u64>,
    table: Mutex<Table>,
    writes: Mutex<u64>,
}

/// A stand-in for the platform, with its table, object store and host list.
pub struct PlatformStandin {
    server: Server,
    state: Arc<PlatformState>,
}

impl PlatformStandin {
    /// Starts a platform without any data.
    pub async fn start(address: SocketAddr) -> io::Result<Self> {
        let state = Arc::new(PlatformState::default());
        let handler_state = Arc::clone(&state);
        let handler = move |request| -> BoxFuture<'static, HandlerResult> {
            Box::pin(handle(Arc::clone(&handler_state), request))
        };
        let server = Server::start(address, handler).await?;
        Ok(Self { server, state })
    }

    /// The address that the platform listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults of the platform.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Replaces the hosts of the host list.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        lock(&self.state.hosts).hosts = hosts;
    }

    /// Lists an upstream as live or leaving.
    pub fn list_upstream(&self, upstream: UpstreamId, state: ListedState) {
        let mut hosts = lock(&self.state.hosts);
        hosts.upstreams.retain(|listed| listed.upstream != upstream);
        hosts.upstreams.push(ListedUpstream { state, upstream });
    }

    /// Number of write calls to the table that were carried out.
    pub fn writes(&self) -> u64 {
        *lock(&self.state.writes)
    }

    /// Number of read calls to the table that were carried out.
    pub fn reads(&self) -> u64 {
        *lock(&self.state.reads)
    }

    /// Stops the platform at once and closes its connections.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

async fn handle(state: Arc<PlatformState>, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_string();
    if path == "/standin/faults" {
        return Ok(match read_json(request).await {
            Ok(faults) => {
                *lock(&state.faults) = faults;
                empty_response(StatusCode::OK)
            }
            Err(response) => response,
        });
    }
    let faults = lock(&state.faults).clone();
    sleep(Duration::from_millis(faults.delay_ms)).await;
    if faults.down {
        return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/hosts") => Ok(hosts_response(&state, &request)),
        (&Method::POST, "/standin/hosts") => Ok(match read_json(request).await {
            Ok(hosts) => {
                *lock(&state.hosts) = hosts;
                empty_response(StatusCode::OK)
            }
            Err(response) => response,
        }),
        (&Method::POST, "/table/read") => Ok(match read_json::<TableRead>(request).await {
            Ok(read) => {
                *lock(&state.reads) += 1;
                json_response(&lock(&state.table).read(&read))
            }
            Err(response) => response,
        }),
        (&Method::POST, "/table/write") => write_table(&state, request).await,
        (&Method::PUT, path) if path.starts_with("/objects/") => {
            let body = read_body(request).await?;
            lock(&state.objects).insert(path.to_string(), body);
            Ok(empty_response(StatusCode::OK))
        }
        (&Method::GET, path) if path.starts_with("/objects/") => {
            Ok(match lock(&state.objects).get(path) {
                Some(body) => Response::new(full_body(body.clone())),
                None => empty_response(StatusCode::NOT_FOUND),
            })
        }
        _ => Ok(empty_response(StatusCode::NOT_FOUND)),
    }
}

fn hosts_response(state: &PlatformState, request: &Request<Incoming>) -> Response<Body> {
    let mut response = json_response(&*lock(&state.hosts));
    let list = serde_json::to_string(&*lock(&state.hosts)).unwrap_or_default();
    let tag = Fingerprint::of_request("", "", list.as_bytes()).to_string();
    if request
        .headers()
        .get("if-none-match")
        .is_some_and(|known| *known == *tag)
    {
        return empty_response(StatusCode::NOT_MODIFIED);
    }
    if let Ok(tag) = hyper::header::HeaderValue::from_str(&tag) {
        response.headers_mut().insert("etag", tag);
    }
    response
}

async fn write_table(state: &PlatformState, request: Request<Incoming>) -> HandlerResult {
    let batch: TableBatch = match read_json(request).await {
        Ok(batch) => batch,
        Err(response) => return Ok(response),
    };
    if consume_one(&state.faults, |faults| &mut faults.lose_writes) {
        return Err(ConnectionCut);
    }
    let results = lock(&state.table).write(batch);
    *lock(&state.writes) += 1;
    if consume_one(&state.faults, |faults| &mut faults.lose_answers) {
        return Err(ConnectionCut);
    }
    Ok(json_response(&results))
}

fn consume_one(
    faults: &Mutex<PlatformFaults>,
    counter: fn(&mut PlatformFaults) -> &mut u32,
) -> bool {
    let mut faults = lock(faults);
    let counter = counter(&mut faults);
    let any = *counter > 0;
    *counter = counter.saturating_sub(1);
    any
}
