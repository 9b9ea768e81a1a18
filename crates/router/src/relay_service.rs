use super::*;

/// Serves an installation's callers by relaying their requests to the upstreams of a route.
#[derive(Clone)]
pub(crate) struct RelayService {
    pub(crate) clock: Clock,
    pub(crate) configuration: Arc<ArcSwapOption<VersionedDocument>>,
    pub(crate) body_budget: BodyBudget,
    pub(crate) connections: ConnectionPool,
    pub(crate) events: flume::Sender<ControllerMessage>,
    pub(crate) limits: EffectiveLimits,
    pub(crate) next_request: Arc<AtomicU64>,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) tasks: TaskSet,
    pub(crate) status: Arc<ArcSwap<HostStatus>>,
}

type HttpAnswer = Response<AnswerBody>;

/// A request whose route is known.
struct AcceptedRequest {
    arrival: Arrival,
    request: RelayedRequest,
}

impl RelayService {
    pub(crate) async fn answer(
        &self,
        request: Request<Incoming>,
        reader: Arc<AnswerReader>,
    ) -> HttpAnswer {
        let (parts, body) = request.into_parts();
        let head = match self.protocol.read_head(&parts) {
            Ok(head) => head,
            Err(error) => return self.refuse_early("", HttpRefusal::from_head_error(&error)),
        };
        let id = head.attempt.clone();
        match self.read_request(parts, head, body).await {
            Ok(accepted) => self.serve(accepted, reader).await,
            Err(http_refusal) => self.refuse_early(&id, http_refusal),
        }
    }

    /// Logs a request that is refused before it reaches the controller, and returns the response.
    fn refuse_early(&self, id: &str, http_refusal: HttpRefusal) -> HttpAnswer {
        let event = ControllerMessage::Rejected {
            id: id.to_string(),
            reason: http_refusal.code.to_string(),
        };
        // If the queue is full, the log line is dropped, because logging must not delay a request.
        let _ = self.events.try_send(event);
        *http_refusal.answer
    }

    async fn read_request(
        &self,
        parts: Parts,
        head: RequestHead,
        body: Incoming,
    ) -> Result<AcceptedRequest, HttpRefusal> {
        let configuration = self.configuration.load_full();
        let numbered =
            configuration.ok_or_else(|| HttpRefusal::from_reason(RefusalReason::NotReady))?;
        let document = &numbered.document;
        let path = parts.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str()).to_string();
        let hostname = without_port(&head.hostname);
        let route = document.routes.find(hostname, parts.uri.path());
        let route = route.ok_or_else(|| self.no_route_refusal())?;
        let body = WholeBody::read(body, &self.limits, &self.body_budget).await;
        let body = body.map_err(|error| HttpRefusal::from_body_error(&error))?;
        let id = RequestId::new(self.next_request.fetch_add(1, Ordering::Relaxed));
        let host_and_path = format!("{hostname}{path}");
        let fingerprint =
            Fingerprint::of_request(parts.method.as_str(), &host_and_path, &body.bytes);
        let arrival = arrival(id, fingerprint, document, route, &head)?;
        let request = RelayedRequest {
            body,
            head,
            headers: parts.headers,
            method: parts.method,
            path,
        };
        Ok(AcceptedRequest { arrival, request })
    }

    /// Returns the refusal of a request without a route. The route is reported as unknown only if
    /// the host's configuration is current, because a newer configuration may have added the route.
    fn no_route_refusal(&self) -> HttpRefusal {
        let status = self.status.load();
        if status.current && !status.behind {
            HttpRefusal::from_reason(RefusalReason::UnknownRoute)
        } else {
            HttpRefusal::from_reason(RefusalReason::ConfigurationStale)
        }
    }

    /// Passes the request to the controller and waits for the response head. A separate task does
    /// the rest.
    async fn serve(&self, accepted: AcceptedRequest, reader: Arc<AnswerReader>) -> HttpAnswer {
        let AcceptedRequest { arrival, request } = accepted;
        let id = arrival.request;
        let (instruction_sender, instructions) = mpsc::channel(Instruction::CHANNEL_CAPACITY);
        let event =
            ControllerMessage::Arrived(arrival, request.head.attempt.clone(), instruction_sender);
        // Rejects the request at once if the queue is full. Waiting here would hide the overload.
        if self.events.try_send(event).is_err() {
            return *HttpRefusal::from_reason(RefusalReason::QueueFull).answer;
        }
        let (answer_head, answer) = oneshot::channel();
        let answer_sender = AnswerSender::new(answer_head, reader);
        let task = RequestTask::new(id, self.events.clone(), instructions, answer_sender);
        self.tasks.spawn(Relay::new(self, request, task).run());
        answer
            .await
            .unwrap_or_else(|_| answers::lost_request_answer())
    }
}

/// `Retry-After` for refusals without a delay of their own.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The response to a request that is refused before it reaches the controller.
struct HttpRefusal {
    answer: Box<HttpAnswer>,
    code: &'static str,
}

impl HttpRefusal {
    fn from_head_error(error: &HeadError) -> Self {
        let code = "bad_header";
        let message = error.to_string();
        let answer = error_answer(StatusCode::BAD_REQUEST, code, &message, Verdict::NotRun);
        Self {
            answer: Box::new(answer),
            code,
        }
    }

    fn from_body_error(error: &BodyError) -> Self {
        Self {
            answer: Box::new(answers::body_error_answer(error)),
            code: error.code(),
        }
    }

    fn from_reason(reason: RefusalReason) -> Self {
        let refusal = Refusal {
            retry_after: Some(DEFAULT_RETRY_AFTER),
            ..Refusal::not_run(reason)
        };
        Self {
            answer: Box::new(answers::relayed_refusal_answer(&refusal)),
            code: reason.code(),
        }
    }
}

fn without_port(hostname: &str) -> &str {
    hostname.split_once(':').map_or(hostname, |(name, _)| name)
}

fn arrival(
    request: RequestId,
    fingerprint: Fingerprint,
    document: &Document,
    route: &Route,
    head: &RequestHead,
) -> Result<Arrival, HttpRefusal> {
    let service = route.pick_service(rand::rng().random());
    let service = service.ok_or_else(|| HttpRefusal::from_reason(RefusalReason::NoUpstream))?;
    let is_engine = document.services.get(service);
    let is_engine = is_engine.is_some_and(|service| service.engine);
    let target = if is_engine {
        let model = service.as_str().parse();
        Target::Model(model.map_err(|_| HttpRefusal::from_reason(RefusalReason::UnknownModel))?)
    } else {
        Target::Service(service.clone())
    };
    Ok(Arrival {
        class: Some(route.class.clone()),
        fingerprint,
        key_hash: head.key.as_deref().map(KeyHash::of_key),
        max_output: head.max_output,
        prefix: None,
        prompt_tokens: head.prompt_tokens,
        repeatability: Repeatability::AsConfigured,
        request,
        routed: Some(RoutedRequest {
            parts: head.prompt_parts.clone(),
            public: route.public,
            resumed_stream: head.resumed_stream,
            stream: head
                .resumed_stream
                .unwrap_or_else(|| StreamId::of_attempt(&head.attempt)),
            time_limit: head.time_limit,
        }),
        target,
    })
}
