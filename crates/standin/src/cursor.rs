use super::*;

/// Where a stream stands.
pub(crate) struct Cursor {
    pub(crate) break_at: Option<u32>,
    pub(crate) crash: watch::Receiver<u64>,
    pub(crate) ended: bool,
    pub(crate) events: u32,
    pub(crate) generation: Arc<Generation>,
    pub(crate) progress: watch::Receiver<u32>,
    pub(crate) _reader: Reader,
    pub(crate) sent: u32,
    pub(crate) truncate_at: Option<u32>,
}

impl Cursor {
    pub(crate) async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if self.ended {
            return None;
        }
        if self.truncate_at.is_some_and(|limit| self.events >= limit) {
            return None;
        }
        if self.break_at.is_some_and(|limit| self.events >= limit) {
            return self.cut();
        }
        if self.sent >= self.generation.output {
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
        let upto = done.min(sent + self.generation.tokens_per_event);
        self.sent = upto;
        self.events += 1;
        Some(Ok(self.generation.event(sent, upto).into()))
    }

    fn cut(&mut self) -> Option<Result<Bytes, Broken>> {
        self.ended = true;
        Some(Err(Broken))
    }
}
