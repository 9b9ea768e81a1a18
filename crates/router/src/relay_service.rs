use super::*;

/// Requests of an installation's callers, relayed by route.
#[derive(Clone)]
pub(crate) struct RelayService {
    pub(crate) clock: Clock,
    pub(crate) configuration: Arc<ArcSwapOption<VersionedDocument>>,
    pub(crate) bodies: BodyBudget,
    pub(crate) connections: ConnectionPool,
    pub(crate) events: flume::Sender<RingEvent>,
    pub(crate) limits: LimitsInForce,
    pub(crate) next_request: Arc<AtomicU64>,
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) pumps: Pumps,
    pub(crate) status: Arc<ArcSwap<HostStatus>>,
}

type Answered = Response<AnswerBody>;

/// A request whose route has been found.
struct Found {
    arrival: Arrival,
    request: RelayedRequest,
}

impl RelayService {
    pub(crate) async fn answer(
        &self,
        request: Request<Incoming>,
        reader: Arc<AnswerReader>,
    ) -> Answered {
        let (parts, body) = request.into_parts();
        let head = match self.protocol.read_head(&parts) {
            Ok(head) => head,
            Err(error) => return self.turn_away("", TurnedAway::bad_head(&error)),
        };
        let id = head.attempt.clone();
        match self.read(parts, head, body).await {
            Ok(found) => self.serve(found, reader).await,
            Err(turned_away) => self.turn_away(&id, turned_away),
        }
    }

    /// Logs a request that is refused before the controller has seen it.
    fn turn_away(&self, id: &str, turned_away: TurnedAway) -> Answered {
        let event = RingEvent::TurnedAway {
            id: id.to_string(),
            reason: turned_away.code.to_string(),
        };
        // A full ring drops the line: the log never holds a request up.
        let _ = self.events.try_send(event);
        *turned_away.answer
    }

    async fn read(
        &self,
        parts: Parts,
        head: RequestHead,
        body: Incoming,
    ) -> Result<Found, TurnedAway> {
        let configuration = self.configuration.load_full();
        let numbered = configuration.ok_or_else(|| TurnedAway::refused(RefusalReason::NotReady))?;
        let document = &numbered.document;
        let path = parts.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str()).to_string();
        let hostname = without_port(&head.hostname);
        let route = document.routes.find(hostname, parts.uri.path());
        let route = route.ok_or_else(|| self.no_route())?;
        let body = WholeBody::read(body, &self.limits, &self.bodies).await;
        let body = body.map_err(|error| TurnedAway::bad_body(&error))?;
        let id = RequestId::new(self.next_request.fetch_add(1, Ordering::Relaxed));
        let place = format!("{hostname}{path}");
        let fingerprint = Fingerprint::of_request(parts.method.as_str(), &place, &body.bytes);
        let arrival = arrival(id, fingerprint, document, route, &head)?;
        let request = RelayedRequest {
            body,
            head,
            headers: parts.headers,
            method: parts.method,
            path,
        };
        Ok(Found { arrival, request })
    }

    /// A host whose configuration may be outdated must not deny a route: it may
    /// have been added since.
    fn no_route(&self) -> TurnedAway {
        let status = self.status.load();
        if status.current && !status.behind {
            TurnedAway::refused(RefusalReason::UnknownRoute)
        } else {
            TurnedAway::refused(RefusalReason::ConfigurationStale)
        }
    }

    /// Hands the request to the controller and waits for the head of the
    /// answer; a task of its own does the rest.
    async fn serve(&self, found: Found, reader: Arc<AnswerReader>) -> Answered {
        let Found { arrival, request } = found;
        let id = arrival.request;
        let (instructor, instructions) = mpsc::channel(Instruction::RING);
        let event = RingEvent::Arrived(arrival, request.head.attempt.clone(), instructor);
        // A full ring is reported to the caller at once and truthfully.
        if self.events.try_send(event).is_err() {
            return *TurnedAway::refused(RefusalReason::QueueFull).answer;
        }
        let (head, answer) = oneshot::channel();
        let answer_sender = AnswerSender::new(head, reader);
        let task = RequestTask::new(id, self.events.clone(), instructions, answer_sender);
        self.pumps.spawn(Relay::new(self, request, task).run());
        answer.await.unwrap_or_else(|_| answers::lost_track())
    }
}

/// Advice to return for a refusal that says nothing of its own.
const RETURN: Duration = Duration::from_millis(300);

/// The answer to a request that is refused before the controller has seen it.
struct TurnedAway {
    answer: Box<Answered>,
    code: &'static str,
}

impl TurnedAway {
    fn bad_head(error: &HeadError) -> Self {
        let code = "bad_header";
        let message = error.to_string();
        let answer = error_answer(StatusCode::BAD_REQUEST, code, &message, Verdict::NotRun);
        Self {
            answer: Box::new(answer),
            code,
        }
    }

    fn bad_body(error: &BodyError) -> Self {
        Self {
            answer: Box::new(answers::body_refused(error)),
            code: error.code(),
        }
    }

    fn refused(reason: RefusalReason) -> Self {
        let refusal = Refusal {
            retry_after: Some(RETURN),
            ..Refusal::not_run(reason)
        };
        Self {
            answer: Box::new(answers::relayed_refusal(&refusal)),
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
) -> Result<Arrival, TurnedAway> {
    let service = route.pick_service(rand::rng().random());
    let service = service.ok_or_else(|| TurnedAway::refused(RefusalReason::NoUpstream))?;
    let is_engine = document.services.get(service);
    let is_engine = is_engine.is_some_and(|service| service.engine);
    let target = if is_engine {
        let model = service.as_str().parse();
        Target::Model(model.map_err(|_| TurnedAway::refused(RefusalReason::UnknownModel))?)
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
            time_limit: head.time_limit,
        }),
        target,
    })
}
