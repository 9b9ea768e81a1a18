use super::*;

/// Time to wait for the head of an answer. A queued request waits at the
/// engine too, so this is generous; the idle limit holds from then on.
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Events of a stream that are passed on together when they came together.
const MAX_TOGETHER: usize = 64;

/// Event that ends a whole stream.
const END_EVENT: &str = "data: [DONE]\n\n";

/// How the stream of one attempt went.
enum Streamed {
    CallerGone,
    Failed(CallFailure),
    Whole,
}

/// The task that serves one request: it does what the controller says, and
/// passes the answer from the upstream to the caller on one thread.
pub(crate) struct Pump {
    connections: ConnectionPool,
    /// Stream so far, where it is to be kept for a repeated key.
    kept: Option<String>,
    last_event: String,
    limits: Arc<Limits>,
    request: CallerRequest,
    task: RequestTask,
}

impl Pump {
    pub(crate) fn new(service: &CallerService, request: CallerRequest, task: RequestTask) -> Self {
        Self {
            connections: service.connections.clone(),
            kept: request.is_keyed().then(String::new),
            last_event: String::new(),
            limits: service.limits.settings_limits(),
            request,
            task,
        }
    }

    pub(crate) async fn run(mut self) {
        while let Some(instruction) = self.task.next_instruction().await {
            let next = match instruction {
                // No attempt of the own interface is given up.
                Instruction::Abandon(_) => Next::Wait,
                Instruction::Send(order) => self.attempt(*order).await,
                Instruction::Refuse(refusal) => self.refuse(&refusal),
                Instruction::Replay(answer) => self.replay(answer),
                Instruction::Break(refusal) => self.break_off(&refusal).await,
            };
            if matches!(next, Next::End) {
                return;
            }
        }
    }

    fn refuse(&mut self, refusal: &Refusal) -> Next {
        self.task
            .answer
            .send_whole(answers::refusal_answer(refusal));
        Next::End
    }

    fn replay(&mut self, stored: StoredResponse) -> Next {
        let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
        let mut response = text_answer(status, &stored.content_type, stored.body);
        answers::set_verdict(&mut response, Verdict::Ran);
        response.headers_mut().insert(
            HeaderName::from_static(REPLAYED_HEADER),
            HeaderValue::from_static("true"),
        );
        self.task.answer.send_whole(response);
        Next::End
    }

    /// Ends a cut stream with an error event and without an end mark.
    async fn break_off(&mut self, refusal: &Refusal) -> Next {
        let reason = refusal.reason;
        let error = answers::error_json(reason.code(), &reason.to_string(), refusal.verdict);
        let event = format!("event: error\ndata: {error}\n\n");
        self.send_part(event).await;
        self.finish().await;
        Next::End
    }

    async fn send_part(&mut self, part: String) -> bool {
        let slow_reader = Duration::from_millis(self.limits.slow_reader_timeout_ms);
        self.task.answer.send_part(part.into(), slow_reader).await
    }

    async fn finish(&mut self) {
        let slow_reader = Duration::from_millis(self.limits.slow_reader_timeout_ms);
        self.task.answer.finish(slow_reader).await;
    }

    async fn attempt(&mut self, order: SendOrder) -> Next {
        let started = {
            let start = start(&self.connections, &self.request, &self.last_event, &order);
            if self.request.is_keyed() {
                Some(start.await)
            } else {
                let start = pin!(start);
                let gone = pin!(self.task.answer.gone());
                match select(start, gone).await {
                    Either::Left((started, _)) => Some(started),
                    Either::Right(_) => None,
                }
            }
        };
        match started {
            None => self.on_caller_gone(&order).await,
            Some(Err(failure)) => self.task.tell_failure(&order, failure).await,
            Some(Ok(answer)) if self.task.delivered() && !answer.is_token_stream() => {
                // The engine does not know the stream that was to be resumed.
                let failure = CallFailure::may_have_run(FailureCause::ErrorStatus);
                self.task.tell_failure(&order, failure).await
            }
            Some(Ok(answer)) if answer.is_token_stream() => self.stream(&order, answer).await,
            Some(Ok(answer)) => self.pass_whole(&order, answer).await,
        }
    }

    async fn on_caller_gone(&mut self, order: &SendOrder) -> Next {
        self.task.tell_caller_gone().await;
        if self.request.is_for_engine() {
            let engine = EngineAdapter::new(self.connections.clone());
            engine.cancel(order.address, order.attempt).await;
        }
        Next::End
    }

    /// Passes an answer on that comes as a whole. The caller gets it only when
    /// all of it is here, so that half an answer is never taken for a whole.
    async fn pass_whole(&mut self, order: &SendOrder, answer: UpstreamResponse) -> Next {
        let status = answer.status();
        let content_type = answer.content_type().to_string();
        let idle = Duration::from_millis(self.limits.upstream_idle_timeout_ms);
        let collected = answer
            .collect(self.limits.max_whole_answer_bytes, idle)
            .await;
        let body = match collected {
            Ok(body) => body,
            Err(failure) => return self.task.tell_failure(order, failure).await,
        };
        let end = AttemptEnd::Completed {
            response: self.answer_to_keep(status, &content_type, &body),
            longest_pause: Duration::ZERO,
            tokens: completion_tokens(&body),
        };
        self.task.tell_end(order, end).await;
        let mut response = text_answer(status, &content_type, body);
        answers::set_verdict(&mut response, Verdict::Ran);
        self.task.answer.send_whole(response);
        Next::End
    }

    fn answer_to_keep(
        &self,
        status: StatusCode,
        content_type: &str,
        body: &[u8],
    ) -> Option<StoredResponse> {
        let fits = body.len() as u64 <= self.limits.max_answer_bytes.get();
        if !self.request.is_keyed() || !fits {
            return None;
        }
        Some(StoredResponse {
            body: String::from_utf8(body.to_vec()).ok()?,
            content_type: content_type.to_string(),
            status: status.as_u16(),
        })
    }

    async fn stream(&mut self, order: &SendOrder, answer: UpstreamResponse) -> Next {
        let content_type = answer.content_type().to_string();
        match self.pass_events(order, answer).await {
            Streamed::CallerGone => self.on_caller_gone(order).await,
            Streamed::Failed(failure) => self.task.tell_failure(order, failure).await,
            Streamed::Whole => {
                // A replay without the end mark would be taken for a cut answer.
                let kept = self.kept.take().unwrap_or_default() + END_EVENT;
                let end = AttemptEnd::Completed {
                    response: self.answer_to_keep(StatusCode::OK, &content_type, kept.as_bytes()),
                    longest_pause: self.task.longest_pause(),
                    tokens: self.task.take_unreported(),
                };
                self.task.tell_end(order, end).await;
                self.send_part(END_EVENT.to_string()).await;
                self.finish().await;
                Next::End
            }
        }
    }

    async fn pass_events(&mut self, order: &SendOrder, answer: UpstreamResponse) -> Streamed {
        let content_type = answer.content_type().to_string();
        let mut tokens = answer.into_token_stream();
        loop {
            let Some(first) = self.next_item(&mut tokens).await else {
                return Streamed::CallerGone;
            };
            let (part, ended) = self.gather(first, &mut tokens);
            if !part.is_empty() && !self.pass_part(order, &content_type, part).await {
                return Streamed::CallerGone;
            }
            match ended {
                None => {}
                Some(Ok(())) => {
                    tokens.finish().await;
                    return Streamed::Whole;
                }
                Some(Err(failure)) => return Streamed::Failed(failure),
            }
        }
    }

    /// The next item of a stream; `None` if the caller is gone before and
    /// nothing obliges the host to go on.
    async fn next_item(
        &mut self,
        tokens: &mut TokenStream,
    ) -> Option<Result<StreamItem, CallFailure>> {
        if let Some(item) = tokens.try_next() {
            return Some(item);
        }
        let idle = Duration::from_millis(self.limits.upstream_idle_timeout_ms);
        if self.request.is_keyed() {
            return Some(tokens.next(idle).await);
        }
        let next = pin!(tokens.next(idle));
        let gone = pin!(self.task.answer.gone());
        match select(next, gone).await {
            Either::Left((item, _)) => Some(item),
            Either::Right(_) => None,
        }
    }

    /// Gathers an item and those that are there already into one piece for the
    /// caller; says whether the stream ended with them.
    fn gather(
        &mut self,
        first: Result<StreamItem, CallFailure>,
        tokens: &mut TokenStream,
    ) -> (String, Option<Result<(), CallFailure>>) {
        let mut part = String::new();
        let mut item = Some(first);
        for place in 1..=MAX_TOGETHER {
            match item {
                Some(Ok(StreamItem::Event { data, id })) => self.take_event(&mut part, &data, id),
                Some(Ok(StreamItem::End)) => return (part, Some(Ok(()))),
                Some(Err(failure)) => return (part, Some(Err(failure))),
                None => break,
            }
            // An item taken here must not be left behind by the end of the loop.
            item = (place < MAX_TOGETHER).then(|| tokens.try_next()).flatten();
        }
        (part, None)
    }

    fn take_event(&mut self, part: &mut String, data: &str, id: String) {
        use std::fmt::Write;
        let _ = write!(part, "data: {data}\n\n");
        if !id.is_empty() {
            self.last_event = id;
        }
        self.task.count_event();
    }

    /// Sends events to the caller; false if it is gone and nothing obliges the
    /// host to go on.
    async fn pass_part(&mut self, order: &SendOrder, content_type: &str, part: String) -> bool {
        self.task.answer.start_events(content_type);
        if let Some(kept) = &mut self.kept
            && kept.len() as u64 <= self.limits.max_answer_bytes.get()
        {
            kept.push_str(&part);
        }
        let sent = self.send_part(part).await;
        self.task.tell_progress(order).await;
        sent || self.request.is_keyed()
    }
}

async fn start(
    connections: &ConnectionPool,
    request: &CallerRequest,
    last_event: &str,
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
            let resumed = engine.resume(order.address, attempt, last_event, HEAD_TIMEOUT);
            resumed.await
        }
    }
}

/// Output tokens of a whole answer, by the engine's own count.
fn completion_tokens(body: &[u8]) -> Tokens {
    #[derive(Deserialize)]
    struct Usage {
        completion_tokens: u32,
    }
    #[derive(Deserialize)]
    struct Counted {
        usage: Usage,
    }
    serde_json::from_slice(body)
        .map(|counted: Counted| Tokens::new(counted.usage.completion_tokens))
        .unwrap_or_default()
}
