use super::*;

/// Serves the OpenAI-style requests of one caller thread.
#[derive(Clone)]
pub(crate) struct CallerService {
    pub(crate) body_budget: BodyBudget,
    pub(crate) configuration: Arc<ArcSwapOption<VersionedDocument>>,
    pub(crate) connections: ConnectionPool,
    pub(crate) events: flume::Sender<ControllerMessage>,
    pub(crate) limits: EffectiveLimits,
    pub(crate) next_request: Arc<AtomicU64>,
    pub(crate) tasks: TaskSet,
}

type HttpAnswer = Response<AnswerBody>;

impl CallerService {
    pub(crate) async fn answer(
        &self,
        request: Request<Incoming>,
        reader: Arc<AnswerReader>,
    ) -> HttpAnswer {
        match self.read_request(request).await {
            Ok(Some(request)) => self.serve(request, reader).await,
            Ok(None) => self.list_models(),
            Err(answer) => *answer,
        }
    }

    /// Reads and validates a request with its body. Returns `None` for a request that lists the
    /// models.
    async fn read_request(
        &self,
        request: Request<Incoming>,
    ) -> Result<Option<CallerRequest>, Box<HttpAnswer>> {
        let key_hash = bearer_key(&request)?;
        let class = parsed_header::<ClassId>(&request, CLASS_HEADER)?;
        if let Some(Err(error)) = class.as_ref().map(ClassId::check_plain) {
            return Err(bad_header(CLASS_HEADER, &error.to_string()));
        }
        let key = parsed_header::<IdempotencyKey>(&request, KEY_HEADER)?;
        let must_not_repeat = parsed_header::<bool>(&request, IDEMPOTENT_HEADER)? == Some(false);
        let method = request.method().clone();
        let path = request.uri().path().to_string();
        let path_and_query = request
            .uri()
            .path_and_query()
            .map_or(path.clone(), ToString::to_string);
        let content_type = header_text(&request, CONTENT_TYPE.as_str())
            .unwrap_or("application/json")
            .to_string();
        let is_engine = match (&method, path.as_str()) {
            (&Method::GET, "/v1/models") => {
                self.check_key(key_hash)?;
                return Ok(None);
            }
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => true,
            (_, path) if path.starts_with("/services/") => false,
            (_, "/v1/models" | "/v1/chat/completions" | "/v1/completions") => {
                return Err(boxed_refusal(
                    StatusCode::METHOD_NOT_ALLOWED,
                    "method_not_allowed",
                    "wrong method",
                ));
            }
            _ => {
                return Err(boxed_refusal(
                    StatusCode::NOT_FOUND,
                    "not_found",
                    "no such path",
                ));
            }
        };
        let body = WholeBody::read(request.into_body(), &self.limits, &self.body_budget).await;
        let body = body.map_err(|error| Box::new(answers::body_error_answer(&error)))?;
        let fingerprint = Fingerprint::of_request(method.as_str(), &path_and_query, &body.bytes);
        let repeatability = match key {
            Some(key) => Repeatability::AtMostOncePerKey { key },
            None if must_not_repeat => Repeatability::AtMostOnce,
            None => Repeatability::AsConfigured,
        };
        let requested = if is_engine {
            parse_engine_request(path_and_query, &body.bytes)
        } else {
            parse_service_request(&path_and_query)
        };
        Ok(Some(CallerRequest {
            requested: requested?,
            body,
            class,
            content_type,
            fingerprint,
            key_hash,
            method,
            repeatability,
        }))
    }

    /// Passes the request to the controller and waits for the response head. A separate task does
    /// the rest: a request with an idempotency key must run to its end even if the caller
    /// disconnects.
    async fn serve(&self, request: CallerRequest, reader: Arc<AnswerReader>) -> HttpAnswer {
        let id = RequestId::new(self.next_request.fetch_add(1, Ordering::Relaxed));
        let (instruction_sender, instructions) = mpsc::channel(Instruction::CHANNEL_CAPACITY);
        let arrival = request.arrival(id);
        // Rejects the request at once if the queue is full. Waiting here would hide the overload
        // from the limits that handle it.
        if self
            .events
            .try_send(ControllerMessage::Arrived(
                arrival,
                id.to_string(),
                instruction_sender,
            ))
            .is_err()
        {
            return host_busy();
        }
        let (answer_head, answer) = oneshot::channel();
        let answer_sender = AnswerSender::new(answer_head, reader);
        let task = RequestTask::new(id, self.events.clone(), instructions, answer_sender);
        self.tasks
            .spawn(RequestHandler::new(self, request, task).run());
        answer
            .await
            .unwrap_or_else(|_| answers::lost_request_answer())
    }

    fn check_key(&self, key_hash: KeyHash) -> Result<(), Box<HttpAnswer>> {
        let configuration = self.configuration.load();
        let known = configuration.as_ref().is_some_and(|numbered| {
            let mut teams = numbered.document.teams.values();
            teams.any(|team| team.key_hashes().any(|key| key == key_hash))
        });
        if known {
            return Ok(());
        }
        let reason = RefusalReason::UnknownKey;
        Err(boxed_refusal(
            StatusCode::UNAUTHORIZED,
            reason.code(),
            &reason.to_string(),
        ))
    }

    fn list_models(&self) -> HttpAnswer {
        let configuration = self.configuration.load();
        let mut models = Vec::new();
        if let Some(numbered) = configuration.as_ref() {
            for upstream in numbered.document.upstreams.values() {
                if let config::Upstream::Engine(engine) = upstream {
                    models.extend(engine.models.iter().cloned());
                }
            }
        }
        models.sort();
        models.dedup();
        let data: Vec<_> = models
            .iter()
            .map(|model| json!({"id": model, "object": "model"}))
            .collect();
        let body = json!({"object": "list", "data": data}).to_string();
        text_answer(StatusCode::OK, "application/json", body)
    }
}

fn boxed_refusal(status: StatusCode, code: &str, message: &str) -> Box<HttpAnswer> {
    Box::new(error_answer(status, code, message, Verdict::NotRun))
}

fn host_busy() -> HttpAnswer {
    let message = "the host has more requests than it can take in";
    let mut answer = error_answer(
        StatusCode::SERVICE_UNAVAILABLE,
        "host_busy",
        message,
        Verdict::NotRun,
    );
    answer
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from_static("1"));
    answer
}

fn header_text<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn bearer_key(request: &Request<Incoming>) -> Result<KeyHash, Box<HttpAnswer>> {
    let key = header_text(request, AUTHORIZATION.as_str())
        .and_then(|value| value.strip_prefix("Bearer "));
    match key {
        Some(key) => Ok(KeyHash::of_key(key)),
        None => Err(boxed_refusal(
            StatusCode::UNAUTHORIZED,
            "missing_key",
            "expected the header `Authorization: Bearer KEY`",
        )),
    }
}

fn bad_header(name: &str, error: &str) -> Box<HttpAnswer> {
    let message = format!("header {name}: {error}");
    boxed_refusal(StatusCode::BAD_REQUEST, "bad_header", &message)
}

fn parsed_header<T>(request: &Request<Incoming>, name: &str) -> Result<Option<T>, Box<HttpAnswer>>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    let parsed = value
        .to_str()
        .map_err(|error| error.to_string())
        .and_then(|text| text.parse().map_err(|error: T::Err| error.to_string()));
    match parsed {
        Ok(value) => Ok(Some(value)),
        Err(error) => Err(bad_header(name, &error)),
    }
}

fn parse_engine_request(path: String, body: &[u8]) -> Result<ParsedRequest, Box<HttpAnswer>> {
    let bad_body = |error: &dyn Display| {
        let message = format!("the body is not a completion request: {error}");
        boxed_refusal(StatusCode::BAD_REQUEST, "bad_body", &message)
    };
    let parsed: EngineBody<'_> = serde_json::from_slice(body).map_err(|error| bad_body(&error))?;
    let model = parsed.model.check_plain();
    model.map_err(|error| bad_body(&error))?;
    Ok(ParsedRequest {
        max_output: parsed.max_output(),
        path,
        prefix: parsed.prefix(),
        prompt_tokens: parsed.prompt_tokens(),
        target: Target::Model(parsed.model),
    })
}

fn parse_service_request(path: &str) -> Result<ParsedRequest, Box<HttpAnswer>> {
    let rest = path.trim_start_matches("/services/");
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let plain = |service: ServiceId| service.check_plain().map(|()| service);
    let service = service
        .parse()
        .and_then(plain)
        .map_err(|error| boxed_refusal(StatusCode::BAD_REQUEST, "bad_path", &error.to_string()))?;
    Ok(ParsedRequest {
        max_output: None,
        path: format!("/{path}"),
        prefix: None,
        prompt_tokens: Tokens::default(),
        target: Target::Service(service),
    })
}
