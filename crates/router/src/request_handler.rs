use super::*;

/// Maximum time to wait for a response head. The limit is high because a request may also wait in
/// the queue of the engine. After the head, the idle timeout applies.
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum number of available events that are sent to the caller together.
const MAX_EVENTS_PER_PART: usize = 64;

/// Event that ends a complete stream.
const END_EVENT: &str = "data: [DONE]\n\n";

/// How the stream of one attempt ended.
enum StreamEnd {
    CallerGone,
    Failed(CallFailure),
    Whole,
}

/// Task that serves one request: it follows the controller's instructions and forwards the answer
/// from the upstream to the caller, all on one thread.
pub(crate) struct RequestHandler {
    connections: ConnectionPool,
    /// The stream so far, if the answer must be stored for retries with the same idempotency key.
    stored_stream: Option<String>,
    last_event_id: String,
    limits: Arc<Limits>,
    request: CallerRequest,
    task: RequestTask,
}

impl RequestHandler {
    pub(crate) fn new(service: &CallerService, request: CallerRequest, task: RequestTask) -> Self {
        Self {
            connections: service.connections.clone(),
            stored_stream: request.has_idempotency_key().then(String::new),
            last_event_id: String::new(),
            limits: service.limits.settings_limits(),
            request,
            task,
        }
    }

    pub(crate) async fn run(mut self) {
        while let Some(instruction) = self.task.next_instruction().await {
            let next = match instruction {
                // The controller abandons no attempts of the OpenAI-style interface.
                Instruction::Abandon(_) => NextStep::Wait,
                Instruction::Send(order) => self.attempt(*order).await,
                Instruction::Refuse(refusal) => self.refuse(&refusal),
                Instruction::Replay(answer) => self.replay(answer),
                Instruction::Break(refusal) => self.end_with_error_event(&refusal).await,
            };
            if matches!(next, NextStep::End) {
                return;
            }
        }
    }

    fn refuse(&mut self, refusal: &Refusal) -> NextStep {
        self.task
            .answer
            .send_whole(answers::refusal_answer(refusal));
        NextStep::End
    }

    fn replay(&mut self, stored: StoredResponse) -> NextStep {
        let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
        let mut response = text_answer(status, &stored.content_type, stored.body);
        answers::set_verdict(&mut response, Verdict::Ran);
        response.headers_mut().insert(
            HeaderName::from_static(REPLAYED_HEADER),
            HeaderValue::from_static("true"),
        );
        self.task.answer.send_whole(response);
        NextStep::End
    }

    /// Ends an interrupted stream with an error event and without `END_EVENT`.
    async fn end_with_error_event(&mut self, refusal: &Refusal) -> NextStep {
        let reason = refusal.reason;
        let error = answers::error_json(reason.code(), &reason.to_string(), refusal.verdict);
        let event = format!("event: error\ndata: {error}\n\n");
        self.send_part(event).await;
        self.finish().await;
        NextStep::End
    }

    async fn send_part(&mut self, part: String) -> bool {
        let slow_reader_timeout = Duration::from_millis(self.limits.slow_reader_timeout_ms);
        self.task
            .answer
            .send_part(part.into(), slow_reader_timeout)
            .await
    }

    async fn finish(&mut self) {
        let slow_reader_timeout = Duration::from_millis(self.limits.slow_reader_timeout_ms);
        self.task.answer.finish(slow_reader_timeout).await;
    }

    async fn attempt(&mut self, order: SendOrder) -> NextStep {
        let started = {
            let start = start_attempt(
                &self.connections,
                &self.request,
                &self.last_event_id,
                &order,
            );
            if self.request.has_idempotency_key() {
                Some(start.await)
            } else {
                let start = pin!(start);
                let gone = pin!(self.task.answer.caller_gone());
                match select(start, gone).await {
                    Either::Left((started, _)) => Some(started),
                    Either::Right(_) => None,
                }
            }
        };
        match started {
            None => self.cancel_for_gone_caller(&order).await,
            Some(Err(failure)) => self.task.report_failure(&order, failure).await,
            Some(Ok(answer)) if self.task.has_delivered() && !answer.is_token_stream() => {
                // The engine cannot resume the stream, because it does not know the earlier
                // attempt.
                let failure = CallFailure::may_have_run(FailureCause::ErrorStatus);
                self.task.report_failure(&order, failure).await
            }
            Some(Ok(answer)) if answer.is_token_stream() => {
                self.forward_stream(&order, answer).await
            }
            Some(Ok(answer)) => self.forward_whole(&order, answer).await,
        }
    }

    async fn cancel_for_gone_caller(&mut self, order: &SendOrder) -> NextStep {
        self.task.report_caller_gone().await;
        if self.request.is_for_engine() {
            let engine = EngineAdapter::new(self.connections.clone());
            engine.cancel(order.address, order.attempt).await;
        }
        NextStep::End
    }

    /// Forwards an answer that is not a stream. The caller gets the answer only once it is
    /// complete, so that a truncated answer is never taken for a complete one.
    async fn forward_whole(&mut self, order: &SendOrder, answer: UpstreamResponse) -> NextStep {
        let status = answer.status();
        let content_type = answer.content_type().to_string();
        let idle = Duration::from_millis(self.limits.upstream_idle_timeout_ms);
        let collected = answer
            .collect(self.limits.max_whole_answer_bytes, idle)
            .await;
        let body = match collected {
            Ok(body) => body,
            Err(failure) => return self.task.report_failure(order, failure).await,
        };
        let end = AttemptEnd::Completed {
            response: self.answer_to_store(status, &content_type, &body),
            longest_pause: Duration::ZERO,
            tokens: completion_tokens(&body),
        };
        self.task.report_attempt_end(order, end).await;
        let mut response = text_answer(status, &content_type, body);
        answers::set_verdict(&mut response, Verdict::Ran);
        self.task.answer.send_whole(response);
        NextStep::End
    }

    fn answer_to_store(
        &self,
        status: StatusCode,
        content_type: &str,
        body: &[u8],
    ) -> Option<StoredResponse> {
        let fits = body.len() as u64 <= self.limits.max_answer_bytes.get();
        if !self.request.has_idempotency_key() || !fits {
            return None;
        }
        Some(StoredResponse {
            body: String::from_utf8(body.to_vec()).ok()?,
            content_type: content_type.to_string(),
            status: status.as_u16(),
        })
    }

    async fn forward_stream(&mut self, order: &SendOrder, answer: UpstreamResponse) -> NextStep {
        let content_type = answer.content_type().to_string();
        match self.forward_events(order, answer).await {
            StreamEnd::CallerGone => self.cancel_for_gone_caller(order).await,
            StreamEnd::Failed(failure) => self.task.report_failure(order, failure).await,
            StreamEnd::Whole => {
                // Without the end event, a replayed stream would look interrupted.
                let stored = self.stored_stream.take().unwrap_or_default() + END_EVENT;
                let end = AttemptEnd::Completed {
                    response: self.answer_to_store(
                        StatusCode::OK,
                        &content_type,
                        stored.as_bytes(),
                    ),
                    longest_pause: self.task.longest_pause(),
                    tokens: self.task.take_unreported_events(),
                };
                self.task.report_attempt_end(order, end).await;
                self.send_part(END_EVENT.to_string()).await;
                self.finish().await;
                NextStep::End
            }
        }
    }

    async fn forward_events(&mut self, order: &SendOrder, answer: UpstreamResponse) -> StreamEnd {
        let content_type = answer.content_type().to_string();
        let mut tokens = answer.into_token_stream();
        loop {
            let Some(first) = self.next_item(&mut tokens).await else {
                return StreamEnd::CallerGone;
            };
            let (part, ended) = self.batch_events(first, &mut tokens);
            if !part.is_empty() && !self.forward_part(order, &content_type, part).await {
                return StreamEnd::CallerGone;
            }
            match ended {
                None => {}
                Some(Ok(())) => {
                    tokens.finish().await;
                    return StreamEnd::Whole;
                }
                Some(Err(failure)) => return StreamEnd::Failed(failure),
            }
        }
    }

    /// Waits for the next item of a stream. Returns `None` if the caller disconnects first and the
    /// request has no idempotency key.
    async fn next_item(
        &mut self,
        tokens: &mut TokenStream,
    ) -> Option<Result<StreamItem, CallFailure>> {
        if let Some(item) = tokens.try_next() {
            return Some(item);
        }
        let idle = Duration::from_millis(self.limits.upstream_idle_timeout_ms);
        if self.request.has_idempotency_key() {
            return Some(tokens.next(idle).await);
        }
        let next = pin!(tokens.next(idle));
        let gone = pin!(self.task.answer.caller_gone());
        match select(next, gone).await {
            Either::Left((item, _)) => Some(item),
            Either::Right(_) => None,
        }
    }

    /// Batches an item and the items that are already available into one part for the caller. Also
    /// returns how the stream ended, if it ended with one of these items.
    fn batch_events(
        &mut self,
        first: Result<StreamItem, CallFailure>,
        tokens: &mut TokenStream,
    ) -> (String, Option<Result<(), CallFailure>>) {
        let mut part = String::new();
        let mut item = Some(first);
        for count in 1..=MAX_EVENTS_PER_PART {
            match item {
                Some(Ok(StreamItem::Event { data, id })) => self.append_event(&mut part, &data, id),
                Some(Ok(StreamItem::End)) => return (part, Some(Ok(()))),
                Some(Err(failure)) => return (part, Some(Err(failure))),
                None => break,
            }
            // The last iteration takes no further item, because the item would be lost.
            item = (count < MAX_EVENTS_PER_PART)
                .then(|| tokens.try_next())
                .flatten();
        }
        (part, None)
    }

    fn append_event(&mut self, part: &mut String, data: &str, id: String) {
        use std::fmt::Write;
        let _ = write!(part, "data: {data}\n\n");
        if !id.is_empty() {
            self.last_event_id = id;
        }
        self.task.count_event();
    }

    /// Sends events to the caller. Returns false if the caller is gone and the request has no
    /// idempotency key.
    async fn forward_part(&mut self, order: &SendOrder, content_type: &str, part: String) -> bool {
        self.task.answer.start_events(content_type);
        if let Some(stored) = &mut self.stored_stream
            && stored.len() as u64 <= self.limits.max_answer_bytes.get()
        {
            stored.push_str(&part);
        }
        let sent = self.send_part(part).await;
        self.task.report_progress(order).await;
        sent || self.request.has_idempotency_key()
    }
}

async fn start_attempt(
    connections: &ConnectionPool,
    request: &CallerRequest,
    last_event_id: &str,
    order: &SendOrder,
) -> Result<UpstreamResponse, CallFailure> {
    let call = request.call(order);
    match (request.is_for_engine(), order.resume_from) {
        (false, _) => {
            let service = ServiceAdapter::new(connections.clone());
            service.start(order.address, &call, HEAD_TIMEOUT).await
        }
        (true, None) => {
            let engine = EngineAdapter::new(connections.clone());
            engine.start(order.address, &call, HEAD_TIMEOUT).await
        }
        (true, Some(attempt)) => {
            let engine = EngineAdapter::new(connections.clone());
            let resumed = engine.resume(order.address, attempt, last_event_id, HEAD_TIMEOUT);
            resumed.await
        }
    }
}

/// Reads the number of output tokens that the engine reports in a whole answer.
fn completion_tokens(body: &[u8]) -> Tokens {
    #[derive(Deserialize)]
    struct Usage {
        completion_tokens: u32,
    }
    #[derive(Deserialize)]
    struct EngineAnswer {
        usage: Usage,
    }
    serde_json::from_slice(body)
        .map(|engine_answer: EngineAnswer| Tokens::new(engine_answer.usage.completion_tokens))
        .unwrap_or_default()
}
