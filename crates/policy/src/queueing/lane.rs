use super::*;

/// Time from dispatch to the first token before anything has been seen.
const FIRST_LEAD: Duration = Duration::from_millis(50);

/// Weight of a sample below the lead, and of one above it: the lead follows the
/// quick answers. What goes wrong with an average: one request that waited in
/// an engine's own queue makes others count as late that still have time, and
/// they are put behind the rest.
const WEIGHT_BELOW: f64 = 0.2;
const WEIGHT_ABOVE: f64 = 0.005;

/// The queues of one target, a model or a service.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) congestion: Congestion,
    pub(crate) minimum_share: MinimumShare,
    pub(crate) long_prompts: LongPromptDetector,
    pub(crate) rate: ServiceRate,
    pub(crate) partition: EnginePartition,
    last_arrival: Time,
    lead: Duration,
    queues: [RankQueue; Rank::COUNT],
}

impl Default for Lane {
    fn default() -> Self {
        Self {
            congestion: Congestion::default(),
            minimum_share: MinimumShare::default(),
            long_prompts: LongPromptDetector::default(),
            rate: ServiceRate::default(),
            partition: EnginePartition::default(),
            last_arrival: Time::default(),
            lead: FIRST_LEAD,
            queues: Default::default(),
        }
    }
}

impl Lane {
    pub(crate) fn has_work(&self, rank: Rank) -> bool {
        !self.queues[rank.index()].is_empty()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queues.iter().all(RankQueue::is_empty)
    }

    /// When a request came last.
    pub(crate) const fn last_arrival(&self) -> Time {
        self.last_arrival
    }

    pub(crate) fn push(&mut self, rank: Rank, item: QueuedItem, now: Time) {
        self.last_arrival = now;
        self.queues[rank.index()].push(item);
        self.minimum_share.note_waiting(rank, now);
    }

    /// The request of a rank to serve next.
    pub(crate) fn peek(&mut self, rank: Rank, now: Time) -> Option<QueuedItem> {
        let lead = self.lead;
        self.queues[rank.index()].peek(now, lead)
    }

    /// Whether a request due at `due` can still get its first token in time.
    pub(crate) fn can_meet(&self, due: Time, now: Time) -> bool {
        now + self.lead <= due
    }

    pub(crate) fn serve(&mut self, rank: Rank, item: &QueuedItem, now: Time) {
        let queue = &mut self.queues[rank.index()];
        queue.serve(item);
        self.minimum_share.note_served(rank, !queue.is_empty(), now);
    }

    pub(crate) fn remove(&mut self, rank: Rank, item: &QueuedItem, now: Time) {
        let queue = &mut self.queues[rank.index()];
        if queue.remove(item) && queue.is_empty() {
            self.minimum_share.note_served(rank, false, now);
        }
    }

    /// Notes the time from a dispatch to its first token.
    pub(crate) fn note_lead(&mut self, sample: Duration) {
        let change = sample.as_secs_f64() - self.lead.as_secs_f64();
        let weight = if change < 0.0 {
            WEIGHT_BELOW
        } else {
            WEIGHT_ABOVE
        };
        let lead_s = self.lead.as_secs_f64() + weight * change;
        self.lead = Duration::from_secs_f64(lead_s.max(0.0));
    }

    /// Estimated cost of what goes before a new request of `rank`, in tokens.
    pub(crate) fn cost_ahead(&self, rank: Rank) -> u64 {
        self.queues[..=rank.index()]
            .iter()
            .map(RankQueue::cost)
            .sum()
    }

    /// A request of the least urgent rank with work, to be given up for one of
    /// `rank`; only strictly less urgent ones are named.
    pub(crate) fn worst_below(&self, rank: Rank) -> Option<(Rank, QueuedItem)> {
        Rank::all()
            .rev()
            .take_while(|other| rank < *other)
            .find_map(|other| Some((other, self.queues[other.index()].worst()?)))
    }
}
