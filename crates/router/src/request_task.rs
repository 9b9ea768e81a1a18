use super::*;

/// Events of a stream after which the controller is notified of progress …
const PROGRESS_EVENTS: u32 = 32;

/// … or after this time.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// What a request's task does after an instruction.
pub(crate) enum NextStep {
    /// The request has ended.
    End,
    /// The controller decides what follows.
    Wait,
}

/// What every task that serves one request has: the way back to the caller, and
/// the controller's instructions and what is reported to it in turn.
pub(crate) struct RequestTask {
    pub(crate) answer: AnswerSender,
    /// Whether part of the answer has been passed on.
    delivered: bool,
    events: flume::Sender<RingEvent>,
    id: RequestId,
    pub(crate) instructions: Instructions,
    /// When a part of the answer was passed on last.
    last_part_at: Option<Instant>,
    last_progress_at: Instant,
    longest_pause: Duration,
    /// Events of the stream since the last progress event.
    unreported_events: u32,
}

impl RequestTask {
    pub(crate) fn new(
        id: RequestId,
        events: flume::Sender<RingEvent>,
        instructions: mpsc::Receiver<Instruction>,
        answer: AnswerSender,
    ) -> Self {
        Self {
            answer,
            delivered: false,
            events,
            id,
            instructions: Instructions::new(instructions),
            last_part_at: None,
            last_progress_at: Instant::now(),
            longest_pause: Duration::ZERO,
            unreported_events: 0,
        }
    }

    /// The next instruction; `None` once the request has ended: the controller
    /// said so, or the caller has left, of which the controller is notified.
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

    /// Tells what an upstream says of itself in an answer, if that may be news.
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

    /// Tells by which paths it was tried to reach an upstream.
    pub(crate) async fn report_paths(&self, order: &SendOrder, tries: Vec<PathTry>) {
        self.send_event(Event::PathsTried {
            request: Some(self.id),
            tries,
            upstream: order.upstream.clone(),
        })
        .await;
    }

    /// Counts an event of the stream that is passed on.
    pub(crate) const fn count_event(&mut self) {
        self.unreported_events += 1;
    }

    /// Events that the controller has not been notified of.
    pub(crate) fn take_unreported_events(&mut self) -> Tokens {
        Tokens::new(std::mem::take(&mut self.unreported_events))
    }

    /// Notes that events were passed on, and tells the controller of the first ones
    /// at once and of later ones now and then.
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

    /// Longest time between two parts that the caller was sent, over all attempts.
    pub(crate) const fn longest_pause(&self) -> Duration {
        self.longest_pause
    }

    fn record_part(&mut self, now: Instant) {
        if let Some(last) = self.last_part_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now.duration_since(last));
        }
    }

    async fn send_event(&self, event: Event) {
        // Waits while the ring is full: an end of an attempt is never lost. The
        // controller outlives every task.
        let _ = self.events.send_async(RingEvent::Happened(event)).await;
    }
}
