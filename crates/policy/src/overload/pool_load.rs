use super::*;

/// Part of the places up to which upstreams have room.
const ROOM_PART: f64 = 0.5;

/// Part of the callers' limit up to which what waits begins well in time.
const SHORT_WAIT_PART: f64 = 0.125;

/// Work at the engines of a target, by this host's requests and the notes of the others.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PoolLoad {
    taken: f64,
    places: f64,
    /// Time in which an engine is through with what waits, on average.
    pub(crate) waiting: Duration,
}

impl PoolLoad {
    /// The load of some engines, by notes that tell of one in `hosts_for_each` hosts.
    pub(crate) fn of<'a>(
        states: impl Iterator<Item = &'a UpstreamState>,
        hosts_for_each: f64,
    ) -> Self {
        let (mut engines, mut places, mut taken, mut waiting_ms) = (0.0, 0.0, 0.0, 0.0);
        for state in states {
            engines += 1.0;
            places += f64::from(state.definition.slots());
            taken += f64::from(state.in_flight + state.others_in_flight);
            waiting_ms += state.queued_prefill_ms();
        }
        let waiting_s = waiting_ms * hosts_for_each / f64::max(engines, 1.0) / 1_000.0;
        Self {
            places,
            taken: taken * hosts_for_each,
            waiting: Duration::from_secs_f64(waiting_s),
        }
    }

    /// Whether there are places and what waits begins well in time for callers that wait so long.
    pub(crate) fn has_room(&self, limit: Duration) -> bool {
        self.taken < ROOM_PART * self.places && self.waiting < limit.mul_f64(SHORT_WAIT_PART)
    }
}
