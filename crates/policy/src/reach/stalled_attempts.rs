//! Abandons attempts that wait for an upstream over a lost path.

use super::*;

/// Time without progress after which an attempt is abandoned if the path to its upstream is lost.
/// An attempt that makes progress continues, because connections that were established before the
/// loss may keep working.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two scans for such attempts.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);

impl Controller {
    /// Abandons stalled attempts of requests that can safely be retried on another upstream.
    /// Otherwise these attempts would last until the kernel considers the connection dead.
    pub(crate) fn abandon_stalled(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.own_paths.all_open() || now < self.next_stall_check {
            return;
        }
        self.next_stall_check = now + SCAN_INTERVAL;
        let (pool, own_paths) = (&self.pool, &self.own_paths);
        for stage in self.requests.values_mut() {
            let Stage::Running(request) = stage else {
                continue;
            };
            let running = &request.stage;
            let is_repeatable = request.facts.idempotent || request.facts.resumable;
            let is_stalled = now.since(running.last_progress) >= STALL_TIMEOUT;
            let is_lost =
                || !own_paths.is_open(&running.upstream, &pool.targets_of(&running.upstream));
            if running.is_direct
                && !running.is_abandoned
                && is_repeatable
                && is_stalled
                && is_lost()
            {
                actions.push(Action::Abandon {
                    attempt: running.attempt,
                    request: request.id,
                });
                request.stage.is_abandoned = true;
            }
        }
    }
}
