use super::*;

/// Work of an engine, in milliseconds of that engine.
impl UpstreamState {
    /// Time in which it reads so many prompt tokens.
    pub(crate) fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.speed.read_tokens_per_ms
    }

    /// Reading that waits there, by this host's requests and the notes of others.
    pub(crate) fn queued_prefill_ms(&self) -> f64 {
        self.prefill_ms(self.backlog_tokens + self.others_backlog_tokens)
    }
}
