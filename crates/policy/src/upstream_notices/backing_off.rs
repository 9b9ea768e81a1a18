//! Records upstreams that refuse requests and ask this host to back off.

use super::*;

/// Longest backoff that is accepted. An upstream that asks for a much longer one by mistake is
/// tried again after this time.
const MAX_BACKOFF: Duration = Duration::from_secs(300);

/// Maximum fraction of random jitter that is added to a backoff. Without jitter, hosts that were
/// refused at the same time would all send again at the same time.
const JITTER_FRACTION: f64 = 0.25;

/// Maximum number of backoffs that are kept apart from the upstreams' states, for upstreams whose
/// entries lapse and return.
const MAX_BACKOFFS: usize = 4_096;

impl Controller {
    /// Records that an upstream asks this host to back off.
    pub(crate) fn note_backoff(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        backoff: &AdvertisedBackoff,
    ) {
        let AdvertisedBackoff::Valid(span) = backoff else {
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

    /// Applies the known backoffs to the states of the upstreams, which may be new.
    pub(crate) fn mark_backing_off(&mut self) {
        for state in &mut self.states {
            if let Some(until) = self.backoffs.get(&state.id) {
                state.backoff.note_asked(*until);
            }
        }
    }
}
