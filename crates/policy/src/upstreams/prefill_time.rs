use super::*;

/// Estimates of an engine's prefill times, at the engine's own speed.
impl UpstreamState {
    /// Time in which the engine prefills `tokens` prompt tokens.
    pub(crate) fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.speed.prefill_tokens_per_ms
    }

    /// Time in which the engine prefills the prompts that wait there: those of this host's
    /// requests, and those of other hosts according to their load notes.
    pub(crate) fn queued_prefill_ms(&self) -> f64 {
        self.prefill_ms(self.backlog_tokens + self.others_backlog_tokens)
    }
}
