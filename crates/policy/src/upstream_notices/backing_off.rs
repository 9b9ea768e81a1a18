//! Upstreams that refuse requests and want nothing from this host for a while.

use super::*;

/// Longest backoff that is kept: an upstream that names a much longer one by mistake is tried
/// again after it.
const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// Part of a backoff by which it is made longer at random: hosts that were refused together
/// would all come back together.
const JITTER_FRACTION: f64 = 0.25;

/// Most backoffs that are remembered for upstreams whose entry lapses and returns.
const MAX_BACKOFFS: usize = 4_096;

impl Controller {
    /// Notes that an upstream wants nothing from this host for a while.
    pub(crate) fn note_backoff(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        backoff: &AnsweredBackoff,
    ) {
        let AnsweredBackoff::Asked(span) = backoff else {
            return;
        };
        if span.is_zero() {
            return;
        }
        let jitter = 1.0 + JITTER_FRACTION * self.rng.random::<f64>();
        let until = now + (*span).min(MAX_BACKOFF).mul_f64(jitter);
        self.pool.note_backoff(upstream, until, now);
    }
}

impl Pool {
    fn note_backoff(&mut self, upstream: &UpstreamId, until: Time, now: Time) {
        self.backoffs.retain(|_, until| now < *until);
        if self.backoffs.len() < MAX_BACKOFFS {
            let known = self.backoffs.entry(upstream.clone()).or_insert(until);
            *known = until.max(*known);
        }
        if let Some(state) = self.get_mut(upstream) {
            state.backoff.note_asked(until);
        }
    }

    /// Gives the upstreams their backoffs, as their states may be new.
    pub(crate) fn mark_backing_off(&mut self) {
        for state in &mut self.states {
            if let Some(until) = self.backoffs.get(&state.id) {
                state.backoff.note_asked(*until);
            }
        }
    }
}
