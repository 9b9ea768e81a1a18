use super::*;

/// Number of streamed events after which progress is reported to the controller.
const PROGRESS_EVENTS: u32 = 32;

/// Time after which progress is reported to the controller, if fewer events have come.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// What the task of a request does after it has carried out an instruction.
pub(crate) enum NextStep {
    /// End, because the request has ended.
    End,
    /// Wait for the controller's next instruction.
    Wait,
}

/// State that every task serving a request has: the sender of the answer, the controller's
/// instructions, and the queue for reports to the controller.
pub(crate) struct RequestTask {
    pub(crate) answer: AnswerSender,
    /// Whether part of the answer has been sent to the caller.
    delivered: bool,
    events: flume::Sender<ControllerMessage>,
    id: RequestId,
    pub(crate) instructions: InstructionReceiver,
    /// When the last part of the answer was sent to the caller.
    last_part_at: Option<Instant>,
    last_progress_at: Instant,
    longest_pause: Duration,
    /// Streamed events since the last progress report.
    unreported_events: u32,
}

impl RequestTask {
    pub(crate) fn new(
        id: RequestId,
        events: flume::Sender<ControllerMessage>,
        instructions: mpsc::Receiver<Instruction>,
        answer: AnswerSender,
    ) -> Self {
        Self {
            answer,
            delivered: false,
            events,
            id,
            instructions: InstructionReceiver::new(instructions),
            last_part_at: None,
            last_progress_at: Instant::now(),
            longest_pause: Duration::ZERO,
            unreported_events: 0,
        }
    }

    /// Waits for the next instruction. Returns `None` once the request has ended: either the
    /// controller has ended it, or the caller has disconnected, which is reported to the
    /// controller.
    pub(crate) async fn next_instruction(&mut self) -> Option<Instruction> {
        tokio::select! {
            biased;
            instruction = self.instructions.next() => return instruction,
            () = self.answer.caller_gone() => {}
        }
        self.report_caller_gone().await;
        None
    }

    pub(crate) const fn has_delivered(&self) -> bool {
        self.delivered
    }

    pub(crate) async fn report_caller_gone(&self) {
        self.send_event(Event::CallerGone { request: self.id })
            .await;
    }

    pub(crate) async fn report_attempt_end(&self, order: &SendOrder, end: AttemptEnd) {
        self.send_event(Event::AttemptEnded {
            attempt: order.attempt,
            end,
            request: self.id,
        })
        .await;
    }

    pub(crate) async fn report_failure(
        &mut self,
        order: &SendOrder,
        failure: CallFailure,
    ) -> NextStep {
        let end = AttemptEnd::Failed {
            cause: failure.cause,
            delivered: self.delivered,
            tokens: self.take_unreported_events(),
            verdict: failure.verdict,
        };
        self.report_attempt_end(order, end).await;
        NextStep::Wait
    }

    /// Reports the notice in an upstream's response. An empty notice is skipped, unless the order
    /// was made under a rate limit or a rejection limit, which an empty notice may lift.
    pub(crate) async fn report_notice(
        &self,
        order: &SendOrder,
        notice: UpstreamNotice,
        sent: Time,
    ) {
        let inputs = &order.inputs;
        if notice.is_empty() && inputs.rate_limit.is_none() && inputs.rejection_limit.is_none() {
            return;
        }
        self.send_event(Event::NoticeAnswered {
            notice,
            sent,
            upstream: order.upstream.clone(),
        })
        .await;
    }

    /// Reports a response that did not answer the request, for the log.
    pub(crate) async fn report_rejected_response(
        &self,
        order: &SendOrder,
        response: RejectedResponse,
    ) {
        let upstream = order.upstream.clone();
        let message = ControllerMessage::ResponseRejected(self.id, upstream, response);
        let _ = self.events.send_async(message).await;
    }

    /// Reports which paths to an upstream were tried.
    pub(crate) async fn report_paths(&self, order: &SendOrder, tries: Vec<PathAttempt>) {
        self.send_event(Event::PathsTried {
            request: Some(self.id),
            attempts: tries,
            upstream: order.upstream.clone(),
        })
        .await;
    }

    pub(crate) const fn count_event(&mut self) {
        self.unreported_events += 1;
    }

    /// Returns the number of events that have not been reported yet, and resets the count.
    pub(crate) fn take_unreported_events(&mut self) -> Tokens {
        Tokens::new(std::mem::take(&mut self.unreported_events))
    }

    /// Records that events were sent to the caller. Reports the first ones to the controller at
    /// once, and later ones every `PROGRESS_EVENTS` or `PROGRESS_INTERVAL`.
    pub(crate) async fn report_progress(&mut self, order: &SendOrder) {
        let now = Instant::now();
        self.record_part(now);
        let first = !std::mem::replace(&mut self.delivered, true);
        let since_last = now.duration_since(self.last_progress_at);
        let due = self.unreported_events >= PROGRESS_EVENTS || since_last >= PROGRESS_INTERVAL;
        if !first && !due {
            return;
        }
        self.last_progress_at = now;
        let tokens = self.take_unreported_events();
        self.send_event(Event::Progressed {
            attempt: order.attempt,
            longest_pause: self.longest_pause,
            request: self.id,
            tokens,
        })
        .await;
    }

    /// Returns the longest time between two parts sent to the caller, over all attempts.
    pub(crate) const fn longest_pause(&self) -> Duration {
        self.longest_pause
    }

    fn record_part(&mut self, now: Instant) {
        if let Some(last) = self.last_part_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.duration_since(last));
        }
    }

    async fn send_event(&self, event: Event) {
        // Waits while the queue is full, so that the end of an attempt is never lost. The
        // controller outlives all request tasks.
        let _ = self
            .events
            .send_async(ControllerMessage::Event(event))
            .await;
    }
}
