//! Load shedding: refuses requests of the least urgent class while upstreams refuse many attempts.

use super::*;

/// Minimum `Retry-After`, because upstreams need a moment until they have free slots.
const SHED_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Controller {
    /// Refuses a request of the least urgent class if this host has as many of them in flight as
    /// the limit allows.
    pub(crate) fn check_congestion(
        &mut self,
        now: Time,
        target: &Target,
        class: &ClassId,
        priority: u8,
    ) -> Result<(), Refusal> {
        if self.options.relay.is_none() {
            return Ok(());
        }
        let queues = self.target_queues.entry(target.clone()).or_default();
        queues.congestion.note_request(now, class, priority);
        if !queues.congestion.is_limited(class) {
            return Ok(());
        }
        let in_flight = self.count_running(target, class);
        let queues = self.target_queues.get(target);
        if queues.is_none_or(|queues| queues.congestion.has_room(in_flight)) {
            return Ok(());
        }
        Err(Refusal {
            retry_after: Some(self.jittered_retry_after(SHED_RETRY_AFTER)),
            ..Refusal::not_run(RefusalReason::UpstreamsFull)
        })
    }

    /// Whether a class is limited now. Its refused attempts aren't retried then, which leaves the
    /// slots to more urgent classes.
    pub(crate) fn is_congestion_limited(&self, target: &Target, class: &ClassId) -> bool {
        let queues = self.target_queues.get(target);
        queues.is_some_and(|queues| queues.congestion.is_limited(class))
    }

    /// Notes that an upstream refused an attempt or began to answer it.
    pub(crate) fn note_congestion(&mut self, target: &Target, is_refused: bool) {
        if let Some(queues) = self.target_queues.get_mut(target) {
            queues.congestion.note_attempt(is_refused);
        }
    }

    /// Updates the congestion limits.
    pub(crate) fn tick_congestion(&mut self, now: Time) {
        let due = self.target_queues.iter().filter_map(|(target, queues)| {
            let class = queues.congestion.least_urgent_class()?;
            let is_due = queues.congestion.is_update_due(now);
            is_due.then(|| (target.clone(), class.clone()))
        });
        for (target, class) in due.collect::<Vec<_>>() {
            let in_flight = self.count_running(&target, &class);
            if let Some(queues) = self.target_queues.get_mut(&target) {
                queues.congestion.update_limit(now, in_flight);
            }
        }
    }

    /// Number of requests of a class that this host has in flight at the upstreams of a target.
    fn count_running(&self, target: &Target, class: &ClassId) -> usize {
        let running = self.requests.values().filter(|stage| {
            let facts = stage.facts();
            matches!(stage, Stage::Running(_)) && facts.class == *class && facts.target == *target
        });
        running.count()
    }
}
