use super::*;

/// Span over which rejections are counted: an upstream counts them in a second, and hears of a
/// host's request a moment after it was sent.
const REJECTION_WINDOW: Duration = Duration::from_millis(1_200);

/// Part of the rejections that an upstream bears at which hosts stop sending.
const MAX_REJECTION_SHARE: f64 = 0.5;

/// Time after a rejection for which hosts keep to their own parts of the slots.
const REJECTION_BACKOFF: Duration = Duration::from_secs(2);

/// Part of the slots that must be free for a host to use more than its own part.
const MIN_FREE_SHARE: f64 = 0.25;

/// What is known of an upstream that falls over when it has to reject much.
#[derive(Debug, Default)]
pub(crate) struct Brittleness {
    /// Rejections a second that another upstream of its service bears, until it answers itself.
    assumed: Option<Rate>,
    /// Rejections a second that it bears, by its own answer to the request sent last.
    reported: Option<(Time, Option<Rate>)>,
    /// Hosts that share its slots.
    hosts: u32,
    /// Whether this host may use its part now.
    is_in_slice: bool,
    /// Slots that this host may use whatever others do.
    pub(crate) guaranteed_slots: u32,
    /// When it may, where several hosts share a slot.
    slice: TimeSlice,
    /// Rejections by this host's requests and, by their notes, by other hosts', the oldest first.
    rejections: VecDeque<Time>,
}

impl Brittleness {
    /// Rejections a second that it bears; `None` if it is not brittle, as far as is known.
    pub(crate) fn rejection_limit(&self) -> Option<Rate> {
        self.reported
            .map_or(self.assumed, |(_, rejection_limit)| rejection_limit)
    }

    /// Takes its own word, in the answer to a request sent at a moment; whether it is news.
    pub(crate) fn note_reported(&mut self, rejection_limit: Option<Rate>, sent: Time) -> bool {
        if self.reported.is_some_and(|(last, _)| last > sent) {
            return false;
        }
        let before = self.rejection_limit();
        self.reported = Some((sent, rejection_limit));
        before != rejection_limit
    }

    /// Takes the word of another upstream of its service.
    pub(crate) const fn assume(&mut self, rejection_limit: Option<Rate>) {
        self.assumed = rejection_limit;
    }

    /// Takes this host's part of its slots.
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

    /// Whether it rejected a request lately, so that it may have fallen over by that.
    pub(crate) fn has_rejected(&self, now: Time) -> bool {
        let last = self.rejections.back();
        last.is_some_and(|at| now.since(*at) <= REJECTION_BACKOFF)
    }

    /// Whether one more request of this host has room there, by all that is known.
    pub(crate) fn has_room(&self, in_flight: u32, others: u32, slots: u32, now: Time) -> bool {
        let Some(rejection_limit) = self.rejection_limit() else {
            return true;
        };
        let max_rejections = rejection_limit.get() * MAX_REJECTION_SHARE;
        if self.recent_rejections(now) as f64 >= max_rejections.max(1.0) {
            return false;
        }
        let free = f64::from(slots.saturating_sub(in_flight + others));
        // Every host may see the same free slots, and take one at the same moment.
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
