use super::*;

/// The body of an answer that is sent only once it is complete.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    parts: VecDeque<UnreadPart>,
    reader: Arc<AnswerReader>,
}

impl WholeAnswer {
    /// Reads a body to its end, as fast as the budget allows. Returns `None` if the body ends early
    /// or is larger than `max`.
    pub(crate) async fn read(
        body: Incoming,
        max: ByteSize,
        reader: Arc<AnswerReader>,
    ) -> Option<Self> {
        let mut body = Limited::new(body, max.get() as usize);
        let mut parts = VecDeque::new();
        while let Some(frame) = body.frame().await {
            let mut bytes = frame.ok()?.into_data().unwrap_or_default();
            while !bytes.is_empty() {
                let part = AnswerReader::split_part(&mut bytes);
                parts.push_back(reader.reserve_whole(part).await);
            }
        }
        Some(Self { parts, reader })
    }

    /// Marks the body as readable and converts it for the response.
    pub(crate) fn into_answer_body(self) -> AnswerBody {
        self.reader.mark_readable();
        self.boxed_unsync()
    }
}

impl Body for WholeAnswer {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        let part = self.parts.pop_front();
        Poll::Ready(part.map(|part| Ok(Frame::data(part.into_bytes()))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.parts.iter().map(UnreadPart::len).sum())
    }
}
