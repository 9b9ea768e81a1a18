use super::*;

/// Fraction of the slots in use below which upstreams have room.
const ROOM_SHARE: f64 = 0.5;

/// Fraction of the callers' time limit below which the queue wait is short.
const SHORT_WAIT_SHARE: f64 = 0.125;

/// Load of the upstreams of a target, from this host's requests and from the notes that other hosts
/// send.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolLoad {
    in_flight: f64,
    slots: f64,
    /// Average time that an upstream needs for its queued work.
    pub(crate) queue_wait: Duration,
}

impl PoolLoad {
    /// Sums up the load of some upstreams. The notes cover only the observed hosts;
    /// `hosts_per_observed` scales the load up to all hosts.
    pub(crate) fn new<'a>(
        states: impl Iterator<Item = &'a UpstreamState>,
        hosts_per_observed: f64,
    ) -> Self {
        let (mut engines, mut slots, mut in_flight, mut waiting_ms) = (0.0, 0.0, 0.0, 0.0);
        for state in states {
            engines += 1.0;
            slots += f64::from(state.definition.slots());
            in_flight += f64::from(state.all_in_flight());
            waiting_ms += state.queued_prefill_ms();
        }
        let waiting_s = waiting_ms * hosts_per_observed / f64::max(engines, 1.0) / 1_000.0;
        Self {
            slots,
            in_flight: in_flight * hosts_per_observed,
            queue_wait: Duration::from_secs_f64(waiting_s),
        }
    }

    /// Whether slots are free, and the queue wait is short for callers with this time limit.
    pub(crate) fn has_room(&self, limit: Duration) -> bool {
        self.in_flight < ROOM_SHARE * self.slots
            && self.queue_wait < limit.mul_f64(SHORT_WAIT_SHARE)
    }
}
