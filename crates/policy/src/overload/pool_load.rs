use super::*;

/// Part of the places up to which upstreams have room.
const ROOM_SHARE: f64 = 0.5;

/// Part of the callers' limit up to which what waits begins well in time.
const SHORT_WAIT_SHARE: f64 = 0.125;

/// Work at the engines of a target, by this host's requests and the notes of the others.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolLoad {
    in_flight: f64,
    slots: f64,
    /// Time in which an engine is through with what waits, on average.
    pub(crate) queue_wait: Duration,
}

impl PoolLoad {
    /// The load of some engines, by notes that tell of one in `hosts_for_each` hosts.
    pub(crate) fn new<'a>(
        states: impl Iterator<Item = &'a UpstreamState>,
        hosts_per_observed: f64,
    ) -> Self {
        let (mut engines, mut slots, mut in_flight, mut waiting_ms) = (0.0, 0.0, 0.0, 0.0);
        for state in states {
            engines += 1.0;
            slots += f64::from(state.definition.slots());
            in_flight += f64::from(state.in_flight + state.others);
            waiting_ms += state.waiting_ms();
        }
        let waiting_s = waiting_ms * hosts_per_observed / f64::max(engines, 1.0) / 1_000.0;
        Self {
            slots,
            in_flight: in_flight * hosts_per_observed,
            queue_wait: Duration::from_secs_f64(waiting_s),
        }
    }

    /// Whether there are places and what waits begins well in time for callers that wait so long.
    pub(crate) fn has_room(&self, limit: Duration) -> bool {
        self.in_flight < ROOM_SHARE * self.slots
            && self.queue_wait < limit.mul_f64(SHORT_WAIT_SHARE)
    }
}
