use super::*;

/// The position of one response stream in its generation, with the faults to inject.
pub(crate) struct Cursor {
    pub(crate) break_after_events: Option<u32>,
    pub(crate) crash: watch::Receiver<u64>,
    pub(crate) ended: bool,
    pub(crate) events: u32,
    pub(crate) generation: Arc<Generation>,
    pub(crate) progress: watch::Receiver<u32>,
    pub(crate) _reader: ReaderGuard,
    pub(crate) sent: u32,
    pub(crate) truncate_after_events: Option<u32>,
}

impl Cursor {
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, ConnectionCut>> {
        if self.ended {
            return None;
        }
        if self
            .truncate_after_events
            .is_some_and(|limit| self.events >= limit)
        {
            return None;
        }
        if self
            .break_after_events
            .is_some_and(|limit| self.events >= limit)
        {
            return self.cut();
        }
        if self.sent >= self.generation.output_tokens {
            self.ended = true;
            return Some(Ok(Bytes::from_static(b"data: [DONE]\n\n")));
        }
        let sent = self.sent;
        let done = tokio::select! {
            done = self.progress.wait_for(|done| *done > sent) => done.ok().map(|done| *done),
            _ = self.crash.changed() => None,
        };
        let Some(done) = done else {
            return self.cut();
        };
        let end = done.min(sent + self.generation.tokens_per_event);
        self.sent = end;
        self.events += 1;
        Some(Ok(self.generation.event(sent, end).into()))
    }

    fn cut(&mut self) -> Option<Result<Bytes, ConnectionCut>> {
        self.ended = true;
        Some(Err(ConnectionCut))
    }
}
