use super::*;

/// Data of the event that ends an answer.
const END_MARK: &str = "[DONE]";

/// Time for the end of the body after the end mark.
const FINISH_TIMEOUT: Duration = Duration::from_millis(100);

type EventResult = Result<Event, EventStreamError<hyper::Error>>;

type Events = EventStream<BodyDataStream<Incoming>>;

/// The events of an answer, up to its end mark.
pub struct TokenStream {
    address: SocketAddr,
    pool: ConnectionPool,
    ended: bool,
    events: Pin<Box<Events>>,
    sender: Option<UpstreamSender>,
}

impl TokenStream {
    pub(crate) fn new(answer: UpstreamResponse) -> Self {
        let events = BodyDataStream::new(answer.body).eventsource();
        Self {
            address: answer.address,
            pool: answer.pool,
            ended: false,
            events: Box::pin(events),
            sender: Some(answer.sender),
        }
    }

    /// The next item. A stream that stops before its end mark is a failure,
    /// however the connection was closed: a cut answer is never taken for a
    /// whole one.
    pub async fn next(&mut self, idle_timeout: Duration) -> Result<StreamItem, CallFailure> {
        // A timer for each token would cost more than the token.
        if let Some(item) = self.try_next() {
            return item;
        }
        match timeout(idle_timeout, self.events.next()).await {
            Ok(event) => self.convert_event(event),
            Err(_) => Err(CallFailure::may_have_run(FailureCause::Silent)),
        }
    }

    /// The next item if it is there already.
    pub fn try_next(&mut self) -> Option<Result<StreamItem, CallFailure>> {
        if self.ended {
            return None;
        }
        let event = self.events.next().now_or_never()?;
        Some(self.convert_event(event))
    }

    fn convert_event(&mut self, event: Option<EventResult>) -> Result<StreamItem, CallFailure> {
        match event {
            Some(Ok(event)) if event.data == END_MARK => {
                self.ended = true;
                Ok(StreamItem::End)
            }
            Some(Ok(Event { data, id, .. })) => Ok(StreamItem::Event { data, id }),
            Some(Err(EventStreamError::Transport(_))) => {
                Err(CallFailure::may_have_run(FailureCause::Reset))
            }
            Some(Err(_)) | None => Err(CallFailure::may_have_run(FailureCause::Truncated)),
        }
    }

    /// Reads the last bytes after the end mark, so that the connection can be
    /// used again.
    pub async fn finish(mut self) {
        let rest = timeout(FINISH_TIMEOUT, self.events.next()).await;
        if let (Ok(None), Some(sender)) = (rest, self.sender.take()) {
            self.pool
                .keep(self.address, sender, upstream_response::IDLE_LIFETIME);
        }
    }
}
