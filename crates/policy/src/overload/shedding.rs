//! Which requests the controller refuses while upstreams are full.

use super::*;

/// Shortest advice to retry: upstreams need a moment to become free.
const SHED_RETURN: Duration = Duration::from_secs(1);

impl Controller {
    /// Refuses a request of the least urgent class while upstreams refuse much.
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
        let lane = self.lanes.entry(target.clone()).or_default();
        lane.congestion.note_asked(now, class, priority);
        if !lane.congestion.yields(class) {
            return Ok(());
        }
        let there = self.running_of(target, class);
        let lane = self.lanes.get(target);
        if lane.is_none_or(|lane| lane.congestion.has_room(there)) {
            return Ok(());
        }
        Err(Refusal {
            retry_after: Some(self.spread(SHED_RETURN)),
            ..Refusal::not_run(RefusalReason::UpstreamsFull)
        })
    }

    /// Whether requests of a class leave retries to more urgent ones, as upstreams refuse much.
    pub(crate) fn yields(&self, target: &Target, class: &ClassId) -> bool {
        let lane = self.lanes.get(target);
        lane.is_some_and(|lane| lane.congestion.yields(class))
    }

    /// An upstream refused an attempt, or began to answer it.
    pub(crate) fn note_congestion(&mut self, target: &Target, is_refused: bool) {
        if let Some(lane) = self.lanes.get_mut(target) {
            lane.congestion.note_attempt(is_refused);
        }
    }

    /// Follows what upstreams refuse.
    pub(crate) fn tick_congestion(&mut self, now: Time) {
        let due = self.lanes.iter().filter_map(|(target, lane)| {
            let class = lane.congestion.least_urgent()?;
            let is_due = lane.congestion.is_due(now);
            is_due.then(|| (target.clone(), class.clone()))
        });
        for (target, class) in due.collect::<Vec<_>>() {
            let there = self.running_of(&target, &class);
            if let Some(lane) = self.lanes.get_mut(&target) {
                lane.congestion.change(now, there);
            }
        }
    }

    /// Requests of a class that this host has at upstreams of a target.
    fn running_of(&self, target: &Target, class: &ClassId) -> usize {
        let running = self.requests.values().filter(|stage| {
            let facts = stage.facts();
            matches!(stage, Stage::Running(_)) && facts.class == *class && facts.target == *target
        });
        running.count()
    }
}
