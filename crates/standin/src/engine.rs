use super::*;

/// How long a generation without readers continues, and how long it stays resumable
/// after its end.
const UNREAD_RETENTION: Duration = Duration::from_millis(2_000);

struct EngineState {
    batch: Batch,
    cache: Mutex<PrefixCache>,
    crash_count: watch::Sender<u64>,
    faults: Mutex<EngineFaults>,
    generations: Mutex<HashMap<String, Arc<Generation>>>,
    log: RunLog,
    name: String,
    options: EngineOptions,
    report: Mutex<(Instant, LoadReport)>,
    tasks: Mutex<JoinSet<()>>,
}

/// A stand-in for a model engine, with continuous batching by priority, a small
/// prefix cache, streams that can be resumed and cancelled, and delayed load
/// reports.
pub struct EngineStandin {
    server: Server,
    state: Arc<EngineState>,
}

impl EngineStandin {
    /// Starts an engine. `name` is its name in the run log.
    pub async fn start(
        address: SocketAddr,
        name: &str,
        options: EngineOptions,
        log: RunLog,
    ) -> io::Result<Self> {
        let state = Arc::new(EngineState {
            batch: Batch::new(options.slots, options.queue_bound),
            cache: Mutex::default(),
            crash_count: watch::Sender::new(0),
            faults: Mutex::default(),
            generations: Mutex::default(),
            log,
            name: name.to_string(),
            report: Mutex::new((Instant::now(), LoadReport::default())),
            options,
            tasks: Mutex::default(),
        });
        let handler_state = Arc::clone(&state);
        let handler = move |request| -> BoxFuture<'static, HandlerResult> {
            Box::pin(handle(Arc::clone(&handler_state), request))
        };
        let mut server = Server::start(address, handler).await?;
        server.spawn(publish_load(Arc::clone(&state)));
        Ok(Self { server, state })
    }

    /// The address that the engine listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults of the engine.
    pub fn set_faults(&self, faults: EngineFaults) {
        set_faults(&self.state, faults);
    }

    /// Number of requests in the running batch.
    pub fn running(&self) -> u32 {
        self.state.batch.running()
    }

    /// Stops the engine at once and closes its connections, as in a crash.
    pub async fn stop(self) {
        let mut tasks = std::mem::take(&mut *lock(&self.state.tasks));
        tasks.shutdown().await;
        self.server.stop().await;
    }
}

fn set_faults(state: &EngineState, faults: EngineFaults) {
    let crashed = faults.crashed;
    *lock(&state.faults) = faults;
    if crashed {
        state.crash_count.send_modify(|count| *count += 1);
        for generation in lock(&state.generations).drain() {
            generation.1.cancelled.notify_one();
        }
    }
}

async fn publish_load(state: Arc<EngineState>) {
    loop {
        let report = LoadReport {
            age_ms: 0,
            leaving: lock(&state.faults).leaving,
            running: state.batch.running(),
            waiting: state.batch.waiting(),
        };
        *lock(&state.report) = (Instant::now(), report);
        sleep(Duration::from_millis(state.options.report_lag_ms)).await;
    }
}

async fn handle(state: Arc<EngineState>, request: Request<Incoming>) -> HandlerResult {
    let path = request.uri().path().to_string();
    if path == "/standin/faults" {
        return Ok(match read_json(request).await {
            Ok(faults) => {
                set_faults(&state, faults);
                empty_response(StatusCode::OK)
            }
            Err(response) => response,
        });
    }
    let faults = lock(&state.faults).clone();
    if faults.crashed {
        return Err(ConnectionCut);
    }
    if faults.silent {
        std::future::pending::<()>().await;
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/health") => Ok(empty_response(StatusCode::OK)),
        (&Method::GET, "/load") => Ok(load_response(&state)),
        (&Method::GET, "/standin/runs") => Ok(json_response(&state.log.runs())),
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            start_generation(state, faults, request).await
        }
        (&Method::GET, path) if path.starts_with("/v1/streams/") => {
            Ok(resume_stream(&state, path, &request))
        }
        (&Method::POST, path) if path.starts_with("/v1/cancel/") => {
            let attempt = path.trim_start_matches("/v1/cancel/");
            if let Some(generation) = lock(&state.generations).remove(attempt) {
                generation.cancelled.notify_one();
            }
            Ok(empty_response(StatusCode::OK))
        }
        _ => Ok(empty_response(StatusCode::NOT_FOUND)),
    }
}

fn load_response(state: &EngineState) -> Response<Body> {
    let (at, mut report) = *lock(&state.report);
    report.age_ms = at.elapsed().as_millis() as u64;
    json_response(&report)
}

async fn start_generation(
    state: Arc<EngineState>,
    faults: EngineFaults,
    request: Request<Incoming>,
) -> HandlerResult {
    let header = |name: &str| {
        let value = request.headers().get(name)?.to_str().ok()?;
        Some(value.to_string())
    };
    let attempt = header(ATTEMPT_HEADER);
    let priority = header(PRIORITY_HEADER)
        .and_then(|text| text.parse().ok())
        .unwrap_or(u8::MAX);
    let body = read_body(request).await?;
    if faults.reset_before_run {
        return Err(ConnectionCut);
    }
    let Some(wanted) = EngineRequest::from_body(&body) else {
        return Ok(empty_response(StatusCode::BAD_REQUEST));
    };
    let slot = match state.batch.request_slot(priority) {
        Some(slot) if !faults.refuse => slot,
        _ => return Ok(refusal()),
    };
    let generation = Arc::new(Generation {
        cancelled: Notify::new(),
        output_tokens: wanted.output_tokens,
        progress: watch::Sender::new(0),
        readers: Mutex::new(0),
        tag: wanted.tag.clone(),
        tokens_per_event: state.options.tokens_per_event,
    });
    if let Some(attempt) = &attempt {
        lock(&state.generations).insert(attempt.clone(), Arc::clone(&generation));
    }
    let stream = wanted.stream;
    let reader = ReaderGuard::new(&generation);
    let task = generate(
        Arc::clone(&state),
        Arc::clone(&generation),
        wanted,
        slot,
        attempt,
    );
    {
        let mut tasks = lock(&state.tasks);
        tasks.spawn(task);
        while tasks.try_join_next().is_some() {}
    }
    if stream {
        return Ok(stream_response(&state, generation, reader, 0, &faults));
    }
    full_response(&state, &generation).await
}

fn refusal() -> Response<Body> {
    let mut response = empty_response(StatusCode::TOO_MANY_REQUESTS);
    response.headers_mut().insert(
        NOT_RUN_HEADER,
        hyper::header::HeaderValue::from_static("true"),
    );
    response
}

/// Waits for a slot in the batch and computes the response token by token, until the
/// response is complete, cancelled or abandoned by its readers. Afterwards, the
/// generation stays available for resumption for [`UNREAD_RETENTION`].
async fn generate(
    state: Arc<EngineState>,
    generation: Arc<Generation>,
    wanted: EngineRequest,
    slot: oneshot::Receiver<BatchSlot>,
    attempt: Option<String>,
) {
    let received_ms = state.log.now_ms();
    let work = async {
        let Ok(_slot) = slot.await else { return };
        let run = state
            .log
            .start(&state.name, &wanted.tag, attempt.clone(), received_ms);
        sleep(prefill_time(&state, &wanted)).await;
        let mut next = Instant::now();
        let mut done = 0;
        while done < wanted.output_tokens {
            let tokens = state
                .options
                .tokens_per_event
                .min(wanted.output_tokens - done);
            next += token_time(&state) * tokens;
            sleep_until(next).await;
            done += tokens;
            state.log.add_tokens(run, tokens);
            generation.progress.send_replace(done);
        }
        state.log.finish(run);
    };
    tokio::select! {
        () = work => {}
        () = generation.cancelled.notified() => {}
        () = wait_until_abandoned(&generation) => {}
    }
    sleep(UNREAD_RETENTION).await;
    if let Some(attempt) = attempt {
        lock(&state.generations).remove(&attempt);
    }
}

/// Returns once the generation has had no reader at two consecutive checks.
async fn wait_until_abandoned(generation: &Generation) {
    let mut unread_checks = 0;
    while unread_checks < 2 {
        sleep(UNREAD_RETENTION / 2).await;
        let readers = *lock(&generation.readers);
        unread_checks = if readers == 0 { unread_checks + 1 } else { 0 };
    }
}

fn prefill_time(state: &EngineState, wanted: &EngineRequest) -> Duration {
    let cached = lock(&state.cache).touch(&wanted.prefix, state.options.cached_prefixes);
    let tokens = if cached {
        wanted.prompt_tokens / 10
    } else {
        wanted.prompt_tokens
    };
    Duration::from_micros(tokens * state.options.prefill_us_per_token)
        .mul_f64(lock(&state.faults).slow_factor)
}

fn token_time(state: &EngineState) -> Duration {
    let fill = f64::from(state.batch.running()) / f64::from(state.options.slots.max(1));
    let factor = (1.0 + state.options.load_slope * fill) * lock(&state.faults).slow_factor;
    Duration::from_micros(state.options.token_time_us).mul_f64(factor)
}

async fn full_response(state: &EngineState, generation: &Arc<Generation>) -> HandlerResult {
    let mut progress = generation.progress.subscribe();
    let mut crash = state.crash_count.subscribe();
    crash.mark_unchanged();
    let reader = ReaderGuard::new(generation);
    tokio::select! {
        done = progress.wait_for(|done| *done >= generation.output_tokens) => {
            if done.is_err() {
                return Err(ConnectionCut);
            }
        }
        _ = crash.changed() => return Err(ConnectionCut),
    }
    drop(reader);
    Ok(json_response(&json!({
        "object": "chat.completion",
        "choices": [{
            "index": 0,
            "finish_reason": "stop",
            "message": {"role": "assistant", "content": generation.text()},
        }],
        "usage": {"completion_tokens": generation.output_tokens},
    })))
}

fn resume_stream(state: &EngineState, path: &str, request: &Request<Incoming>) -> Response<Body> {
    let attempt = path.trim_start_matches("/v1/streams/");
    let last_event = request
        .headers()
        .get("last-event-id")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    let generation = lock(&state.generations).get(attempt).cloned();
    let (Some(generation), Some(last_event)) = (generation, last_event) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let reader = ReaderGuard::new(&generation);
    stream_response(
        state,
        generation,
        reader,
        last_event,
        &EngineFaults::default(),
    )
}

fn stream_response(
    state: &EngineState,
    generation: Arc<Generation>,
    reader: ReaderGuard,
    sent: u32,
    faults: &EngineFaults,
) -> Response<Body> {
    let mut crash = state.crash_count.subscribe();
    crash.mark_unchanged();
    let cursor = Cursor {
        break_after_events: faults.break_after_events,
        crash,
        ended: false,
        events: 0,
        progress: generation.progress.subscribe(),
        generation,
        _reader: reader,
        sent,
        truncate_after_events: faults.truncate_after_events,
    };
    let frames = stream::unfold(cursor, |mut cursor| async move {
        let frame = cursor.next().await?;
        Some((frame.map(Frame::data), cursor))
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("text/event-stream"),
    );
    response
}
