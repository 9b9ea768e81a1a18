use super::*;

/// Span over which rejections are counted: an upstream counts them in a second, and hears of a
/// host's request a moment after it was sent.
const REJECTIONS_SPAN: Duration = Duration::from_millis(1_200);

/// Part of the rejections that an upstream bears at which hosts stop sending.
const BORNE_PART: f64 = 0.5;

/// Time after a rejection for which hosts keep to their own parts of the slots.
const CAUTION: Duration = Duration::from_secs(2);

/// Part of the slots that must be free for a host to use more than its own part.
const FREE_PART: f64 = 0.25;

/// What is known of an upstream that falls over when it has to reject much.
#[derive(Debug, Default)]
pub(crate) struct Brittleness {
    /// Rejections a second that another upstream of its service bears, until it answers itself.
    assumed: Option<Rate>,
    /// Rejections a second that it bears, by its own answer to the request sent last.
    named: Option<(Time, Option<Rate>)>,
    /// Hosts that share its slots.
    hosts: u32,
    /// Whether this host may use its part now.
    is_turn: bool,
    /// Slots that this host may use whatever others do.
    pub(crate) part: u32,
    /// When it may, where several hosts share a slot.
    turn: Turn,
    /// Rejections by this host's requests and, by their notes, by other hosts', the oldest first.
    rejections: VecDeque<Time>,
}

impl Brittleness {
    /// Rejections a second that it bears; `None` if it is not brittle, as far as is known.
    pub(crate) fn rate(&self) -> Option<Rate> {
        self.named.map_or(self.assumed, |(_, rate)| rate)
    }

    /// Takes its own word, in the answer to a request sent at a moment; whether it is news.
    pub(crate) fn note_named(&mut self, rate: Option<Rate>, sent: Time) -> bool {
        if self.named.is_some_and(|(last, _)| last > sent) {
            return false;
        }
        let before = self.rate();
        self.named = Some((sent, rate));
        before != rate
    }

    /// Takes the word of another upstream of its service.
    pub(crate) const fn assume(&mut self, rate: Option<Rate>) {
        self.assumed = rate;
    }

    /// Takes this host's part of its slots.
    pub(crate) const fn divide(&mut self, hosts: u32, part: u32, turn: Turn) {
        self.hosts = hosts;
        self.part = part;
        self.turn = turn;
    }

    pub(crate) fn follow_time(&mut self, unix_ms: u64) {
        self.is_turn = self.turn.is_now(unix_ms);
    }

    pub(crate) fn note_rejected(&mut self, now: Time) {
        self.rejections.push_back(now);
        while self
            .rejections
            .front()
            .is_some_and(|at| now.since(*at) > CAUTION)
        {
            self.rejections.pop_front();
        }
    }

    /// Whether it rejected a request lately, so that it may have fallen over by that.
    pub(crate) fn has_rejected(&self, now: Time) -> bool {
        let last = self.rejections.back();
        last.is_some_and(|at| now.since(*at) <= CAUTION)
    }

    /// Whether one more request of this host has room there, by all that is known.
    pub(crate) fn has_room(&self, in_flight: u32, others: u32, slots: u32, now: Time) -> bool {
        let Some(rate) = self.rate() else {
            return true;
        };
        let borne = rate.get() * BORNE_PART;
        if self.rejected_lately(now) as f64 >= borne.max(1.0) {
            return false;
        }
        let free = f64::from(slots.saturating_sub(in_flight + others));
        // Every host may see the same free slots, and take one at the same moment.
        let is_roomy = free > f64::from(slots) * FREE_PART && free + borne >= f64::from(self.hosts);
        (self.is_turn && in_flight < self.part) || (is_roomy && !self.has_rejected(now))
    }

    fn rejected_lately(&self, now: Time) -> usize {
        let lately = |at: &&Time| now.since(**at) <= REJECTIONS_SPAN;
        self.rejections.iter().rev().take_while(lately).count()
    }
}
