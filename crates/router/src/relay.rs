use super::*;

/// How long to wait for an upstream after the deadline of an answer. The upstream stops by itself
/// at the deadline and says so in its response.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(100);

/// Maximum time for the handshake of a connection and for a response head. The time limit of a
/// request usually ends the wait sooner.
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum time to read the short body of a refusal. A connection can be reused only after the body
/// has been read.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum size of the body of a refusal; the connection is not reused after a larger one.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// Content type of an event stream.
const EVENT_STREAM: &str = "text/event-stream";

/// Why an attempt ended without an answer.
enum AttemptError {
    CallerGone,
    Failed(CallFailure),
}

/// Task that relays one request: it follows the controller's instructions and forwards the answer
/// unchanged.
pub(crate) struct Relay {
    clock: Clock,
    connections: ConnectionPool,
    /// The last failure response of an upstream. It is forwarded if no other attempt succeeds.
    failed_answer: Option<Response<WholeAnswer>>,
    /// Connections on which an attempt was sent. Each attempt carries the same id, so the late
    /// copy of a response would count as the response to another attempt on the same connection.
    used_connections: Vec<ConnectionId>,
    /// Id of the last event that was forwarded.
    last_event_id: Option<String>,
    limits: Arc<Limits>,
    protocol: Arc<dyn Protocol>,
    request: RelayedRequest,
    task: RequestTask,
    /// Time for which parts of the stream waited for a caller that reads slowly.
    waited_for_caller: Duration,
}

impl Relay {
    pub(crate) fn new(service: &RelayService, request: RelayedRequest, task: RequestTask) -> Self {
        Self {
            clock: service.clock,
            connections: service.connections.clone(),
            failed_answer: None,
            used_connections: Vec::new(),
            last_event_id: None,
            limits: service.limits.settings_limits(),
            protocol: Arc::clone(&service.protocol),
            request,
            task,
            waited_for_caller: Duration::ZERO,
        }
    }

    pub(crate) async fn run(mut self) {
        while let Some(instruction) = self.task.next_instruction().await {
            let next = match instruction {
                Instruction::Send(order) => self.attempt(&order).await,
                Instruction::Refuse(refusal) => self.refuse(&refusal),
                // The attempt has already ended.
                Instruction::Abandon(_) => NextStep::Wait,
                // Dropping the sender of the answer ends the body with an error.
                Instruction::Break(_) | Instruction::Replay(_) => NextStep::End,
            };
            if matches!(next, NextStep::End) {
                return;
            }
        }
    }

    fn refuse(&mut self, refusal: &Refusal) -> NextStep {
        let failed_answer = self.failed_answer.take();
        let failed = refusal.reason == RefusalReason::UpstreamFailed;
        let answer = failed_answer.filter(|_| failed || refusal.verdict != Verdict::NotRun);
        self.task.answer.send_whole(match answer {
            Some(answer) => answer.map(WholeAnswer::into_answer_body),
            None => answers::relayed_refusal_answer(refusal),
        });
        NextStep::End
    }

    async fn attempt(&mut self, order: &SendOrder) -> NextStep {
        let sent = self.clock.now();
        let error = match self.exchange(order).await {
            Ok((response, sender)) => {
                self.used_connections.push(sender.id());
                let head = &self.request.head;
                let status = response.status();
                let judgement = self.protocol.classify_response(
                    head,
                    status,
                    response.headers(),
                    ConnectionUse::after(sender.requests_before()),
                );
                if !matches!(judgement, ResponseClass::Success | ResponseClass::Failed) {
                    let rejected = RejectedResponse {
                        class: judgement,
                        connection: sender.id(),
                        connection_age: sender.age(),
                        named: self.protocol.named_attempt(head, response.headers()),
                        requests_before: sender.requests_before(),
                        status,
                    };
                    self.task.report_rejected_response(order, rejected).await;
                }
                if judgement.is_of_upstream() {
                    let notice = self.protocol.read_notice(status, response.headers());
                    self.task.report_notice(order, notice, sent).await;
                }
                match judgement {
                    ResponseClass::NotRun(cause) => {
                        self.drain_refusal(order, response, sender).await;
                        AttemptError::Failed(CallFailure::not_run(cause))
                    }
                    ResponseClass::Mismatched(_) => {
                        AttemptError::Failed(CallFailure::may_have_run(FailureCause::Truncated))
                    }
                    ResponseClass::UnconfirmedNotRun => {
                        self.drain_refusal(order, response, sender).await;
                        AttemptError::Failed(CallFailure::may_have_run(FailureCause::ErrorStatus))
                    }
                    ResponseClass::Success if is_event_stream(&response) => {
                        match self.forward_stream(order, response, sender).await {
                            Ok(()) => return NextStep::End,
                            Err(error) => error,
                        }
                    }
                    // Part of a stream has been delivered, so a whole answer cannot follow.
                    _ if self.task.has_delivered() => {
                        AttemptError::Failed(CallFailure::may_have_run(FailureCause::ErrorStatus))
                    }
                    judgement => match self.read_whole(order, response, sender).await {
                        Ok(response) => {
                            return self.forward_whole(order, judgement, response).await;
                        }
                        Err(error) => error,
                    },
                }
            }
            Err(error) => error,
        };
        match error {
            AttemptError::CallerGone => {
                self.task.report_caller_gone().await;
                NextStep::End
            }
            AttemptError::Failed(failure) => self.task.report_failure(order, failure).await,
        }
    }

    /// Sends the request and waits for the response head.
    async fn exchange(
        &mut self,
        order: &SendOrder,
    ) -> Result<(Response<Incoming>, UpstreamSender), AttemptError> {
        let time_left = order.deadline.since(self.clock.now());
        if time_left.is_zero() {
            return Err(AttemptError::Failed(CallFailure::not_run(
                FailureCause::TimedOut,
            )));
        }
        let passing = ForwardingContext {
            fetch_from: order.fetch_from,
            instance: &order.upstream,
            last_event: order.resume_from.and(self.last_event_id.as_deref()),
            priority: order.priority,
            team: order.team.as_ref(),
            time_left,
        };
        let request = self.request.for_upstream(&*self.protocol, &passing);
        let Ok(request) = request else {
            return Err(AttemptError::Failed(CallFailure::not_run(
                FailureCause::Connect,
            )));
        };
        let connections = self.connections.clone();
        let destination = Destination {
            address: order.address,
            paths: order.paths.clone(),
            upstream: Some(order.upstream.clone()),
        };
        let used = self.used_connections.clone();
        let sending = connections.send_on_idle(&destination, &used, request, HEAD_TIMEOUT);
        let request = match self.within_deadline(order, sending).await? {
            ReuseResult::Sent(sent) => return sent.map_err(AttemptError::Failed),
            ReuseResult::Unsent(request) => request,
        };
        let opening = connections.open(&destination);
        let opening = self.within_deadline(order, opening).await?;
        self.task.report_paths(order, opening.attempts).await;
        let sender = opening.sender.ok_or(AttemptError::Failed(NO_CONNECTION))?;
        let sent = connections.send_on_new(sender, request, HEAD_TIMEOUT);
        self.within_deadline(order, sent)
            .await?
            .map_err(AttemptError::Failed)
    }

    /// Waits for an operation on an upstream. Stops early if the caller disconnects, the controller
    /// abandons the attempt, or the deadline and `LATE_ANSWER_GRACE` have passed.
    async fn within_deadline<T>(
        &mut self,
        order: &SendOrder,
        operation: impl Future<Output = T>,
    ) -> Result<T, AttemptError> {
        // The upstream may have sent in time what a slow caller reads later.
        let waited = self.waited_for_caller.min(self.slow_reader_timeout());
        let end = order.deadline + waited + LATE_ANSWER_GRACE;
        let time_left = end.since(self.clock.now());
        // Parts of a stream that are always ready would win against the timer.
        if time_left.is_zero() {
            return Err(may_have_run(FailureCause::TimedOut));
        }
        tokio::select! {
            output = operation => Ok(output),
            () = self.task.answer.caller_gone() => Err(AttemptError::CallerGone),
            () = self.task.instructions.wait_for_abandon(order.attempt) => {
                Err(may_have_run(FailureCause::Silent))
            }
            () = sleep(time_left) => Err(may_have_run(FailureCause::TimedOut)),
        }
    }

    /// Reads the rest of a refusal, so that the connection can be reused.
    async fn drain_refusal(
        &self,
        order: &SendOrder,
        response: Response<Incoming>,
        sender: UpstreamSender,
    ) {
        let keep_for = connection_reuse::keep_alive_time(&response);
        let body = Limited::new(response.into_body(), MAX_REFUSAL_BYTES);
        if let Ok(Ok(_)) = timeout(REFUSAL_BODY_TIMEOUT, body.collect()).await {
            self.keep_connection(order, sender, keep_for);
        }
    }

    fn keep_connection(
        &self,
        order: &SendOrder,
        sender: UpstreamSender,
        keep_for: Option<Duration>,
    ) {
        if let Some(keep_for) = keep_for {
            self.connections.keep(order.address, sender, keep_for);
        }
    }

    /// Reads a whole answer. The caller gets the answer only once it is complete.
    async fn read_whole(
        &mut self,
        order: &SendOrder,
        response: Response<Incoming>,
        sender: UpstreamSender,
    ) -> Result<Response<WholeAnswer>, AttemptError> {
        let keep_for = connection_reuse::keep_alive_time(&response);
        let (parts, body) = response.into_parts();
        let max = self.limits.max_whole_answer_bytes;
        let max = max.min(self.limits.max_unread_bytes);
        let reading = WholeAnswer::read(body, max, self.task.answer.reader());
        let Some(body) = self.within_deadline(order, reading).await? else {
            let failure = CallFailure::may_have_run(FailureCause::Truncated);
            return Err(AttemptError::Failed(failure));
        };
        self.keep_connection(order, sender, keep_for);
        let mut answer = Response::new(body);
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = self.protocol.answer_headers(&parts.headers);
        Ok(answer)
    }

    async fn forward_whole(
        &mut self,
        order: &SendOrder,
        judgement: ResponseClass,
        answer: Response<WholeAnswer>,
    ) -> NextStep {
        if judgement == ResponseClass::Failed && answer.status().is_server_error() {
            // The upstream ran the request and failed. If the request may be repeated, another
            // upstream may succeed; otherwise this failure is forwarded.
            self.failed_answer = Some(answer);
            let failure = CallFailure::may_have_run(FailureCause::ErrorStatus);
            return self.task.report_failure(order, failure).await;
        }
        let end = AttemptEnd::Completed {
            response: None,
            longest_pause: Duration::ZERO,
            tokens: Tokens::default(),
        };
        self.task
            .answer
            .send_whole(answer.map(WholeAnswer::into_answer_body));
        self.task.report_attempt_end(order, end).await;
        NextStep::End
    }

    async fn forward_stream(
        &mut self,
        order: &SendOrder,
        response: Response<Incoming>,
        sender: UpstreamSender,
    ) -> Result<(), AttemptError> {
        // The failed answer is not needed once a stream has begun, and would count as unread.
        self.failed_answer = None;
        let keep_for = connection_reuse::keep_alive_time(&response);
        // Such a body ends with its connection, so an upstream that stops right after the head
        // looks as if it had finished. Only a resumed stream may have no events left.
        let must_have_event = !is_framed(&response)
            && order.resume_from.is_none()
            && self.request.head.resumed_stream.is_none();
        let (parts, mut body) = response.into_parts();
        let mut head = Response::new(());
        *head.status_mut() = parts.status;
        *head.headers_mut() = self.protocol.answer_headers(&parts.headers);
        let mut head = Some(head);
        let mut splitter = EventSplitter::default();
        loop {
            let frame = self.within_deadline(order, body.frame()).await?;
            let bytes = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return Err(may_have_run(FailureCause::Reset)),
                None if splitter.has_partial_event() || (must_have_event && head.is_some()) => {
                    return Err(may_have_run(FailureCause::Truncated));
                }
                None => break,
            };
            splitter.push(&bytes);
            self.forward_events(order, &mut head, &mut splitter).await?;
            if splitter.partial_event_bytes() > self.limits.max_unread_stream_bytes.get() {
                return Err(may_have_run(FailureCause::Truncated));
            }
        }
        if let Some(head) = head.take() {
            self.task.answer.start_stream(head);
        }
        self.task.answer.finish(self.slow_reader_timeout()).await;
        let tokens = self.task.take_unreported_events();
        let end = AttemptEnd::Completed {
            response: None,
            longest_pause: self.task.longest_pause(),
            tokens,
        };
        self.task.report_attempt_end(order, end).await;
        self.keep_connection(order, sender, keep_for);
        Ok(())
    }

    /// Forwards the whole events in the buffer as one part.
    async fn forward_events(
        &mut self,
        order: &SendOrder,
        head: &mut Option<Response<()>>,
        splitter: &mut EventSplitter,
    ) -> Result<(), AttemptError> {
        let mut part: Vec<u8> = Vec::new();
        while let Some(event) = splitter.next_event() {
            if let Some(id) = event.id {
                if !self.follows_last_event(&id) {
                    continue;
                }
                self.last_event_id = Some(id);
            }
            part.extend_from_slice(&event.bytes);
            self.task.count_event();
        }
        if part.is_empty() {
            return Ok(());
        }
        if let Some(head) = head.take() {
            self.task.answer.start_stream(head);
        }
        let began = self.clock.now();
        if !self
            .task
            .answer
            .send_part(part.into(), self.slow_reader_timeout())
            .await
        {
            return Err(AttemptError::CallerGone);
        }
        self.waited_for_caller += self.clock.now().since(began);
        self.task.report_progress(order).await;
        Ok(())
    }

    /// Whether an event comes after the last one that was forwarded. After a stream has moved to
    /// another upstream, events that were already forwarded may come again.
    fn follows_last_event(&self, id: &str) -> bool {
        let number = |id: &str| id.parse::<u64>().ok();
        match (self.last_event_id.as_deref().and_then(number), number(id)) {
            (Some(last), Some(next)) => next > last,
            _ => true,
        }
    }

    fn slow_reader_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.slow_reader_timeout_ms)
    }
}

fn may_have_run(cause: FailureCause) -> AttemptError {
    AttemptError::Failed(CallFailure::may_have_run(cause))
}

/// Whether the head says how the body ends.
fn is_framed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with(EVENT_STREAM))
}
