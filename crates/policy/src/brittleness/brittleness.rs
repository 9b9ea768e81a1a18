use super::*;

/// Time over which rejections are counted. An upstream counts them over one second, and receives a
/// request shortly after the host sent it.
const REJECTION_WINDOW: Duration = Duration::from_millis(1_200);

/// Share of the rejections an upstream can handle at which hosts stop sending to it.
const MAX_REJECTION_SHARE: f64 = 0.5;

/// Time after a rejection for which hosts use only their guaranteed slots.
const REJECTION_BACKOFF: Duration = Duration::from_secs(2);

/// Share of the slots that must be free for a host to use more than its guaranteed slots.
const MIN_FREE_SHARE: f64 = 0.25;

/// State of an upstream that fails if it has to reject too many requests.
#[derive(Debug, Default)]
pub(crate) struct Brittleness {
    /// Rejections per second that another upstream of the same service can handle, used until this
    /// upstream reports its own limit.
    assumed: Option<Rate>,
    /// Rejections per second that the upstream itself reported, with the time at which the request
    /// of that response was sent.
    reported: Option<(Time, Option<Rate>)>,
    /// Number of hosts that share the slots of the upstream.
    hosts: u32,
    /// Whether this host may start requests in its guaranteed slots now.
    is_in_slice: bool,
    /// Slots that this host may use regardless of the other hosts.
    pub(crate) guaranteed_slots: u32,
    /// Time slice in which this host may start requests if several hosts share a slot.
    slice: TimeSlice,
    /// Times of recent rejections of requests of this host and, by their notes, of other hosts, the
    /// oldest first.
    rejections: VecDeque<Time>,
}

impl Brittleness {
    /// Rejections per second that the upstream can handle; `None` if it is not known to be brittle.
    pub(crate) fn rejection_limit(&self) -> Option<Rate> {
        self.reported
            .map_or(self.assumed, |(_, rejection_limit)| rejection_limit)
    }

    /// Notes the limit reported in the response to a request that was sent at the given time.
    /// Returns whether the known limit changed.
    pub(crate) fn note_reported(&mut self, rejection_limit: Option<Rate>, sent: Time) -> bool {
        if self.reported.is_some_and(|(last, _)| last > sent) {
            return false;
        }
        let before = self.rejection_limit();
        self.reported = Some((sent, rejection_limit));
        before != rejection_limit
    }

    /// Assumes the limit that another upstream of the same service reported.
    pub(crate) const fn assume(&mut self, rejection_limit: Option<Rate>) {
        self.assumed = rejection_limit;
    }

    /// Sets this host's share of the slots.
    pub(crate) const fn set_division(
        &mut self,
        hosts: u32,
        guaranteed_slots: u32,
        slice: TimeSlice,
    ) {
        self.hosts = hosts;
        self.guaranteed_slots = guaranteed_slots;
        self.slice = slice;
    }

    pub(crate) fn update_time(&mut self, unix_ms: u64) {
        self.is_in_slice = self.slice.contains_start(unix_ms);
    }

    pub(crate) fn note_rejected(&mut self, now: Time) {
        self.rejections.push_back(now);
        while self
            .rejections
            .front()
            .is_some_and(|at| now.since(*at) > REJECTION_BACKOFF)
        {
            self.rejections.pop_front();
        }
    }

    /// Whether the upstream recently rejected a request, so that rejections may be the cause of its
    /// failure.
    pub(crate) fn has_rejected(&self, now: Time) -> bool {
        let last = self.rejections.back();
        last.is_some_and(|at| now.since(*at) <= REJECTION_BACKOFF)
    }

    /// Whether one more request of this host may be sent to the upstream.
    pub(crate) fn allows_request(
        &self,
        in_flight: u32,
        others: u32,
        slots: u32,
        now: Time,
    ) -> bool {
        let Some(rejection_limit) = self.rejection_limit() else {
            return true;
        };
        let max_rejections = rejection_limit.get() * MAX_REJECTION_SHARE;
        if self.recent_rejections(now) as f64 >= max_rejections.max(1.0) {
            return false;
        }
        let free = f64::from(slots.saturating_sub(in_flight.saturating_add(others)));
        // Every host may see the same free slots and use one at the same moment.
        let has_spare_slots = free > f64::from(slots) * MIN_FREE_SHARE
            && free + max_rejections >= f64::from(self.hosts);
        (self.is_in_slice && in_flight < self.guaranteed_slots)
            || (has_spare_slots && !self.has_rejected(now))
    }

    fn recent_rejections(&self, now: Time) -> usize {
        let lately = |at: &&Time| now.since(**at) <= REJECTION_WINDOW;
        self.rejections.iter().rev().take_while(lately).count()
    }
}
