use super::*;

/// Time beyond the end of an answer's use in which the upstream's own word on
/// it is still waited for: it stops by itself then and says so.
const LAST_WORD: Duration = Duration::from_millis(100);

/// Time that an upstream may take for the connection's handshake and for the
/// head of its answer; the request's own time limit ends it sooner.
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Time to read the short body of a refusal, so that its connection can be kept.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);

/// Largest body of such a refusal.
const MAX_REFUSAL: usize = 64 * 1024;

/// Content type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Why an attempt ended without an answer.
enum Stopped {
    CallerGone,
    Failed(CallFailure),
}

/// The task that relays one request: it does what the controller says, and
/// passes the answer on unchanged.
pub(crate) struct Relay {
    clock: Clock,
    connections: ConnectionPool,
    /// The last failure that an upstream answered with; it is passed on if
    /// nothing better comes.
    held: Option<Response<WholeAnswer>>,
    /// Id of the last event that was passed on.
    last_event: Option<String>,
    limits: Arc<Limits>,
    protocol: Arc<dyn Protocol>,
    request: RelayedRequest,
    task: RequestTask,
}

impl Relay {
    pub(crate) fn new(service: &RelayService, request: RelayedRequest, task: RequestTask) -> Self {
        Self {
            clock: service.clock,
            connections: service.connections.clone(),
            held: None,
            last_event: None,
            limits: service.limits.own(),
            protocol: Arc::clone(&service.protocol),
            request,
            task,
        }
    }

    pub(crate) async fn run(mut self) {
        while let Some(instruction) = self.task.next_instruction().await {
            let next = match instruction {
                Instruction::Send(order) => self.attempt(&order).await,
                Instruction::Refuse(refusal) => self.refuse(&refusal),
                // That attempt has ended meanwhile.
                Instruction::Abandon(_) => Next::Wait,
                // The caller's connection breaks with the answer's sender.
                Instruction::Break(_) | Instruction::Replay(_) => Next::End,
            };
            if matches!(next, Next::End) {
                return;
            }
        }
    }

    fn refuse(&mut self, refusal: &Refusal) -> Next {
        let held = self.held.take();
        let failed = refusal.reason == RefusalReason::UpstreamFailed;
        let answer = held.filter(|_| failed || refusal.verdict != Verdict::NotRun);
        self.task.answer.send_whole(match answer {
            Some(answer) => answer.map(WholeAnswer::offered),
            None => answers::relayed_refusal(refusal),
        });
        Next::End
    }

    async fn attempt(&mut self, order: &SendOrder) -> Next {
        let sent = self.clock.now();
        let stopped = match self.exchange(order).await {
            Ok((response, sender)) => {
                let head = &self.request.head;
                let status = response.status();
                let judgement = self
                    .protocol
                    .classify_response(head, status, response.headers());
                if judgement.is_of_upstream() {
                    let notice = self.protocol.read_notice(status, response.headers());
                    self.task.tell_notice(order, notice, sent).await;
                }
                match judgement {
                    ResponseClass::NotRun(cause) => {
                        self.keep_refused(order, response, sender).await;
                        Stopped::Failed(CallFailure::not_run(cause))
                    }
                    ResponseClass::Mismatched => {
                        Stopped::Failed(CallFailure::may_have_run(FailureCause::Truncated))
                    }
                    ResponseClass::UnconfirmedNotRun => {
                        self.keep_refused(order, response, sender).await;
                        Stopped::Failed(CallFailure::may_have_run(FailureCause::ErrorStatus))
                    }
                    ResponseClass::Success if is_event_stream(&response) => {
                        match self.stream(order, response, sender).await {
                            Ok(()) => return Next::End,
                            Err(stopped) => stopped,
                        }
                    }
                    // Half of an answer went out: another whole one can't follow.
                    _ if self.task.delivered() => {
                        Stopped::Failed(CallFailure::may_have_run(FailureCause::ErrorStatus))
                    }
                    judgement => match self.whole(order, response, sender).await {
                        Ok(response) => return self.pass_whole(order, judgement, response).await,
                        Err(stopped) => stopped,
                    },
                }
            }
            Err(stopped) => stopped,
        };
        match stopped {
            Stopped::CallerGone => {
                self.task.tell_caller_gone().await;
                Next::End
            }
            Stopped::Failed(failure) => self.task.tell_failure(order, failure).await,
        }
    }

    /// Sends the request and waits for the head of the answer.
    async fn exchange(
        &mut self,
        order: &SendOrder,
    ) -> Result<(Response<Incoming>, UpstreamSender), Stopped> {
        let time_left = order.deadline.since(self.clock.now());
        if time_left.is_zero() {
            return Err(Stopped::Failed(CallFailure::not_run(
                FailureCause::TimedOut,
            )));
        }
        let passing = ForwardingContext {
            fetch_from: order.fetch_from,
            instance: &order.upstream,
            last_event: order.resume_from.and(self.last_event.as_deref()),
            priority: order.priority,
            team: order.team.as_ref(),
            time_left,
        };
        let request = self.request.for_upstream(&*self.protocol, &passing);
        let Ok(request) = request else {
            return Err(Stopped::Failed(CallFailure::not_run(FailureCause::Connect)));
        };
        let connections = self.connections.clone();
        let to = Destination {
            address: order.address,
            paths: order.paths.clone(),
            upstream: Some(order.upstream.clone()),
        };
        let kept = connections.send_on_idle(&to, request, HEAD_TIMEOUT);
        let request = match self.in_time(order, kept).await? {
            ReuseResult::Sent(sent) => return sent.map_err(Stopped::Failed),
            ReuseResult::Unsent(request) => request,
        };
        let opening = connections.open(&to);
        let opening = self.in_time(order, opening).await?;
        self.task.tell_paths(order, opening.attempts).await;
        let sender = opening.sender.ok_or(Stopped::Failed(NO_CONNECTION))?;
        let sent = connections.send_on_new(sender, request, HEAD_TIMEOUT);
        self.in_time(order, sent).await?.map_err(Stopped::Failed)
    }

    /// Waits for something of an upstream, unless the caller leaves or the
    /// answer is of no use any more.
    async fn in_time<T>(
        &mut self,
        order: &SendOrder,
        wanted: impl Future<Output = T>,
    ) -> Result<T, Stopped> {
        let time_left = order.deadline.since(self.clock.now()) + LAST_WORD;
        tokio::select! {
            wanted = wanted => Ok(wanted),
            () = self.task.answer.gone() => Err(Stopped::CallerGone),
            () = self.task.instructions.abandoned(order.attempt) => {
                Err(Stopped::Failed(CallFailure::may_have_run(FailureCause::Silent)))
            }
            () = sleep(time_left) => {
                Err(Stopped::Failed(CallFailure::may_have_run(FailureCause::TimedOut)))
            }
        }
    }

    /// Reads the rest of a refusal, so that its connection can be kept.
    async fn keep_refused(
        &self,
        order: &SendOrder,
        response: Response<Incoming>,
        sender: UpstreamSender,
    ) {
        let keep_for = connection_reuse::keep_alive_time(&response);
        let body = Limited::new(response.into_body(), MAX_REFUSAL);
        if let Ok(Ok(_)) = timeout(REFUSAL_TIMEOUT, body.collect()).await {
            self.keep(order, sender, keep_for);
        }
    }

    fn keep(&self, order: &SendOrder, sender: UpstreamSender, keep_for: Option<Duration>) {
        if let Some(keep_for) = keep_for {
            self.connections.keep(order.address, sender, keep_for);
        }
    }

    /// Reads an answer whole: the caller gets it only when all of it is here.
    async fn whole(
        &mut self,
        order: &SendOrder,
        response: Response<Incoming>,
        sender: UpstreamSender,
    ) -> Result<Response<WholeAnswer>, Stopped> {
        let keep_for = connection_reuse::keep_alive_time(&response);
        let (parts, body) = response.into_parts();
        let max = self.limits.max_whole_answer_bytes;
        let max = max.min(self.limits.max_unread_bytes);
        let reading = WholeAnswer::read(body, max, self.task.answer.reader());
        let Some(body) = self.in_time(order, reading).await? else {
            let failure = CallFailure::may_have_run(FailureCause::Truncated);
            return Err(Stopped::Failed(failure));
        };
        self.keep(order, sender, keep_for);
        let mut answer = Response::new(body);
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = self.protocol.answer_headers(&parts.headers);
        Ok(answer)
    }

    async fn pass_whole(
        &mut self,
        order: &SendOrder,
        judgement: ResponseClass,
        answer: Response<WholeAnswer>,
    ) -> Next {
        if judgement == ResponseClass::Failed && answer.status().is_server_error() {
            // The upstream ran it and failed. Where it may be repeated, another
            // one may do better; else the failure is passed on.
            self.held = Some(answer);
            let failure = CallFailure::may_have_run(FailureCause::ErrorStatus);
            return self.task.tell_failure(order, failure).await;
        }
        let end = AttemptEnd::Completed {
            response: None,
            longest_pause: Duration::ZERO,
            tokens: Tokens::default(),
        };
        self.task
            .answer
            .send_whole(answer.map(WholeAnswer::offered));
        self.task.tell_end(order, end).await;
        Next::End
    }

    async fn stream(
        &mut self,
        order: &SendOrder,
        response: Response<Incoming>,
        sender: UpstreamSender,
    ) -> Result<(), Stopped> {
        // It is of no use any more, and would count as unread.
        self.held = None;
        let keep_for = connection_reuse::keep_alive_time(&response);
        let (parts, mut body) = response.into_parts();
        let mut head = Response::new(());
        *head.status_mut() = parts.status;
        *head.headers_mut() = self.protocol.answer_headers(&parts.headers);
        let mut head = Some(head);
        let mut splitter = EventSplitter::default();
        loop {
            let frame = self.in_time(order, body.frame()).await?;
            let bytes = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return Err(broken(FailureCause::Reset)),
                None if splitter.has_rest() => return Err(broken(FailureCause::Truncated)),
                None => break,
            };
            splitter.push(&bytes);
            self.pass_events(order, &mut head, &mut splitter).await?;
            if splitter.rest_bytes() > self.limits.max_unread_stream_bytes.get() {
                return Err(broken(FailureCause::Truncated));
            }
        }
        if let Some(head) = head.take() {
            self.task.answer.start_stream(head);
        }
        self.task.answer.finish(self.slow_reader()).await;
        let tokens = self.task.take_unreported();
        let end = AttemptEnd::Completed {
            response: None,
            longest_pause: self.task.longest_pause(),
            tokens,
        };
        self.task.tell_end(order, end).await;
        self.keep(order, sender, keep_for);
        Ok(())
    }

    /// Passes the whole events on that are there, in one piece.
    async fn pass_events(
        &mut self,
        order: &SendOrder,
        head: &mut Option<Response<()>>,
        splitter: &mut EventSplitter,
    ) -> Result<(), Stopped> {
        let mut part: Vec<u8> = Vec::new();
        while let Some(event) = splitter.next() {
            if let Some(id) = event.id {
                if !self.is_next(&id) {
                    continue;
                }
                self.last_event = Some(id);
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
        if !self
            .task
            .answer
            .send_part(part.into(), self.slow_reader())
            .await
        {
            return Err(Stopped::CallerGone);
        }
        self.task.tell_progress(order).await;
        Ok(())
    }

    /// Whether an event comes after the last one that was passed on. One that
    /// does not has been passed on before a stream moved.
    fn is_next(&self, id: &str) -> bool {
        let number = |id: &str| id.parse::<u64>().ok();
        match (self.last_event.as_deref().and_then(number), number(id)) {
            (Some(last), Some(next)) => next > last,
            _ => true,
        }
    }

    fn slow_reader(&self) -> Duration {
        Duration::from_millis(self.limits.slow_reader_timeout_ms)
    }
}

fn broken(cause: FailureCause) -> Stopped {
    Stopped::Failed(CallFailure::may_have_run(cause))
}

fn is_event_stream(response: &Response<Incoming>) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    content_type.is_some_and(|value| value.starts_with(EVENT_STREAM))
}
