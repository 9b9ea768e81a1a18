use super::*;

/// Data of the event that ends a response.
const END_MARK: &str = "[DONE]";

/// Timeout for the end of the body after the end marker.
const FINISH_TIMEOUT: Duration = Duration::from_millis(100);

type EventResult = Result<Event, EventStreamError<FailureCause>>;

/// The events of a response, up to its end marker.
pub struct TokenStream {
    address: SocketAddr,
    pool: ConnectionPool,
    ended: bool,
    events: EventStream<EventBytes>,
    limit: EventLimit,
    sender: Option<UpstreamSender>,
}

impl TokenStream {
    pub(crate) fn new(response: UpstreamResponse) -> Self {
        let limit = EventLimit::default();
        Self {
            address: response.address,
            pool: response.pool,
            ended: false,
            events: limit.apply(response.body).eventsource(),
            limit,
            sender: Some(response.sender),
        }
    }

    /// Waits for the next item. A stream that stops before its end marker is a failure, however the
    /// connection was closed, so that a truncated response is never taken for a complete one.
    pub async fn next(&mut self, idle_timeout: Duration) -> Result<StreamItem, CallFailure> {
        // Setting a timer for each token would cost more than reading the token.
        if let Some(item) = self.try_next() {
            return item;
        }
        match timeout(idle_timeout, self.events.next()).await {
            Ok(event) => self.convert_event(event),
            Err(_) => Err(CallFailure::may_have_run(FailureCause::Silent)),
        }
    }

    /// The next item, if it has arrived already.
    pub fn try_next(&mut self) -> Option<Result<StreamItem, CallFailure>> {
        if self.ended {
            return None;
        }
        let event = self.events.next().now_or_never()?;
        Some(self.convert_event(event))
    }

    fn convert_event(&mut self, event: Option<EventResult>) -> Result<StreamItem, CallFailure> {
        self.limit.note_event();
        match event {
            Some(Ok(event)) if event.data == END_MARK => {
                self.ended = true;
                Ok(StreamItem::End)
            }
            Some(Ok(Event { data, id, .. })) => Ok(StreamItem::Event { data, id }),
            Some(Err(EventStreamError::Transport(cause))) => Err(CallFailure::may_have_run(cause)),
            Some(Err(_)) | None => Err(CallFailure::may_have_run(FailureCause::Truncated)),
        }
    }

    /// Reads the rest of the body after the end marker, so that the connection can be reused.
    pub async fn finish(mut self) {
        let rest = timeout(FINISH_TIMEOUT, self.events.next()).await;
        if let (Ok(None), Some(sender)) = (rest, self.sender.take()) {
            self.pool
                .keep(self.address, sender, upstream_response::IDLE_LIFETIME);
        }
    }
}
