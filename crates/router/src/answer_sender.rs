use super::*;

/// Maximum number of parts of a stream that are queued for a slow reader.
const MAX_WAITING_PARTS: usize = 16;

enum BodyPart {
    Bytes(UnreadPart),
    /// Marks the body as complete.
    End,
}

enum SendState {
    /// The response head has not been sent.
    Head(oneshot::Sender<Response<AnswerBody>>),
    /// The body is being streamed.
    Stream(mpsc::Sender<BodyPart>),
    /// The response is complete, or the caller is gone.
    Closed,
}

/// Sends the response of one request to its caller.
pub(crate) struct AnswerSender {
    reader: Arc<AnswerReader>,
    state: SendState,
}

impl AnswerSender {
    pub(crate) const fn new(
        head: oneshot::Sender<Response<AnswerBody>>,
        reader: Arc<AnswerReader>,
    ) -> Self {
        Self {
            reader,
            state: SendState::Head(head),
        }
    }

    /// Returns the reader that the parts of the answer are accounted to.
    pub(crate) fn reader(&self) -> Arc<AnswerReader> {
        Arc::clone(&self.reader)
    }

    /// Waits until the caller disconnects.
    pub(crate) async fn caller_gone(&mut self) {
        match &mut self.state {
            SendState::Head(head) => head.closed().await,
            SendState::Stream(parts) => parts.closed().await,
            SendState::Closed => std::future::pending().await,
        }
    }

    /// Sends a complete response, unless one has been started.
    pub(crate) fn send_whole(&mut self, response: Response<AnswerBody>) {
        if let SendState::Head(head) = std::mem::replace(&mut self.state, SendState::Closed) {
            let _ = head.send(response);
        }
    }

    /// Starts a stream of events, unless a response has been started.
    pub(crate) fn start_events(&mut self, content_type: &str) {
        let mut head = Response::new(());
        if let Ok(value) = HeaderValue::from_str(content_type) {
            head.headers_mut().insert(CONTENT_TYPE, value);
        }
        self.start_stream(head);
    }

    /// Starts a response whose body is sent in parts, unless one has been started.
    ///
    /// The body ends with an error unless `finish` marks it as complete. Otherwise, if the task
    /// that serves the request ended early for any reason, the caller would take a truncated answer
    /// for a complete one.
    pub(crate) fn start_stream(&mut self, head: Response<()>) {
        if !matches!(self.state, SendState::Head(_)) {
            return;
        }
        let (parts, mut receiver) = mpsc::channel::<BodyPart>(MAX_WAITING_PARTS);
        let mut ended = false;
        let body = StreamBody::new(futures::stream::poll_fn(move |context| {
            if ended {
                return Poll::Ready(None);
            }
            receiver.poll_recv(context).map(|part| match part {
                Some(BodyPart::Bytes(bytes)) => Some(Ok(Frame::data(bytes.into_bytes()))),
                Some(BodyPart::End) => {
                    ended = true;
                    None
                }
                None => {
                    ended = true;
                    Some(Err(BrokenAnswer))
                }
            })
        }));
        let response = head.map(|()| body.boxed_unsync());
        if let SendState::Head(head) = std::mem::replace(&mut self.state, SendState::Stream(parts))
        {
            let _ = head.send(response);
        }
    }

    /// Sends a part of a stream as soon as the budget allows. Returns false if the caller is
    /// gone or reads too slowly.
    pub(crate) async fn send_part(&mut self, part: Bytes, slow_reader_timeout: Duration) -> bool {
        let SendState::Stream(parts) = &self.state else {
            return false;
        };
        let mut rest = part;
        while !rest.is_empty() {
            let part = AnswerReader::split_part(&mut rest);
            let reserved = tokio::select! {
                biased;
                reserved = self.reader.reserve_streamed(part, slow_reader_timeout) => reserved,
                () = parts.closed() => return false,
            };
            let sent = match reserved {
                Some(part) => send_reserved(parts, part, slow_reader_timeout).await,
                None => Err(SendFailure::TooSlow),
            };
            if let Err(failure) = sent {
                failure.count();
                return false;
            }
        }
        true
    }

    /// Marks the body as complete. Returns false if the caller is gone or reads too slowly.
    pub(crate) async fn finish(&mut self, slow_reader_timeout: Duration) -> bool {
        match std::mem::replace(&mut self.state, SendState::Closed) {
            SendState::Stream(parts) => {
                matches!(
                    timeout(slow_reader_timeout, parts.send(BodyPart::End)).await,
                    Ok(Ok(()))
                )
            }
            SendState::Head(_) | SendState::Closed => false,
        }
    }
}

/// Why a part could not be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SendFailure {
    Gone,
    TooSlow,
}

impl SendFailure {
    fn count(self) {
        if self == Self::TooSlow {
            answer_reader::count_slow_reader("timed-out");
        }
    }
}

async fn send_reserved(
    parts: &mpsc::Sender<BodyPart>,
    part: UnreadPart,
    slow_reader_timeout: Duration,
) -> Result<(), SendFailure> {
    match parts.try_send(BodyPart::Bytes(part)) {
        Ok(()) => Ok(()),
        Err(mpsc::error::TrySendError::Closed(_)) => Err(SendFailure::Gone),
        Err(mpsc::error::TrySendError::Full(part)) => {
            match timeout(slow_reader_timeout, parts.send(part)).await {
                Ok(sent) => sent.map_err(|_| SendFailure::Gone),
                Err(_) => Err(SendFailure::TooSlow),
            }
        }
    }
}
