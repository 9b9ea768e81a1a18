use super::*;

/// Data of the event that ends an answer.
const END_MARK: &str = "[DONE]";

type Frames = EventStream<BodyDataStream<Incoming>>;

/// The events of an answer, up to its end mark.
pub struct TokenStream {
    address: SocketAddr,
    connections: Connections,
    ended: bool,
    events: Pin<Box<Frames>>,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl TokenStream {
    pub(crate) fn new(answer: Answer) -> Self {
        let events = BodyDataStream::new(answer.body).eventsource();
        Self {
            address: answer.address,
            connections: answer.connections,
            ended: false,
            events: Box::pin(events),
            sender: Some(answer.sender),
        }
    }

    /// The next item. A stream that stops before its end mark is a failure,
    /// however the connection was closed: a cut answer is never taken for a
    /// whole one.
    pub async fn next(&mut self, idle_timeout: Duration) -> Result<StreamItem, CallFailure> {
        match timeout(idle_timeout, self.events.next()).await {
            Ok(Some(Ok(event))) if event.data == END_MARK => {
                self.finish().await;
                Ok(StreamItem::End)
            }
            Ok(Some(Ok(Event { data, id, .. }))) => Ok(StreamItem::Event { data, id }),
            Ok(Some(Err(EventStreamError::Transport(_)))) => {
                Err(CallFailure::may_have_run(FailureCause::Reset))
            }
            Ok(Some(Err(_)) | None) => Err(CallFailure::may_have_run(FailureCause::Truncated)),
            Err(_) => Err(CallFailure::may_have_run(FailureCause::Silent)),
        }
    }

    /// The next item if it is there already.
    pub fn try_next(&mut self) -> Option<Result<StreamItem, CallFailure>> {
        use futures::FutureExt;
        if self.ended {
            return None;
        }
        self.next(Duration::MAX).now_or_never()
    }

    /// Reads the last bytes, so that the connection can be used again.
    async fn finish(&mut self) {
        self.ended = true;
        let rest = timeout(Duration::from_millis(100), self.events.next()).await;
        if let (Ok(None), Some(sender)) = (rest, self.sender.take()) {
            self.connections.keep(self.address, sender);
        }
    }
}
