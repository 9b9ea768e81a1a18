use super::*;

/// Estimated time from dispatch to the first token before any sample is known.
const INITIAL_TIME_TO_FIRST_TOKEN: Duration = Duration::from_millis(50);

/// Weights of a sample that is shorter than the estimated time to the first token, and of one that
/// is longer: the estimate follows the fast answers. With a plain moving average, one request that
/// waited in an engine's own queue would make other requests count as late although they still have
/// time, and they would be served after the rest.
const SHORTER_SAMPLE_WEIGHT: f64 = 0.2;
const LONGER_SAMPLE_WEIGHT: f64 = 0.005;

/// The queues of one target (a model or a service), one for each rank, and the statistics that
/// admission and dispatch need for the target.
#[derive(Debug)]
pub(crate) struct TargetQueues {
    pub(crate) congestion: CongestionControl,
    pub(crate) minimum_share: MinimumShare,
    pub(crate) long_prompts: LongPromptDetector,
    pub(crate) service_rate: ServiceRate,
    pub(crate) partition: EnginePartition,
    last_arrival: Time,
    time_to_first_token: Duration,
    queues: [RankQueue; Rank::COUNT],
}

impl Default for TargetQueues {
    fn default() -> Self {
        Self {
            congestion: CongestionControl::default(),
            minimum_share: MinimumShare::default(),
            long_prompts: LongPromptDetector::default(),
            service_rate: ServiceRate::default(),
            partition: EnginePartition::default(),
            last_arrival: Time::default(),
            time_to_first_token: INITIAL_TIME_TO_FIRST_TOKEN,
            queues: Default::default(),
        }
    }
}

impl TargetQueues {
    pub(crate) fn has_work(&self, rank: Rank) -> bool {
        !self.queues[rank.index()].is_empty()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queues.iter().all(RankQueue::is_empty)
    }

    /// Time of the last request that was queued.
    pub(crate) const fn last_arrival(&self) -> Time {
        self.last_arrival
    }

    pub(crate) fn push(&mut self, rank: Rank, item: QueuedItem, now: Time) {
        self.last_arrival = now;
        self.queues[rank.index()].push(item);
        self.minimum_share.note_waiting(rank, now);
    }

    /// Returns the request of a rank to serve next.
    pub(crate) fn peek(&mut self, rank: Rank, now: Time) -> Option<QueuedItem> {
        let time_to_first_token = self.time_to_first_token;
        self.queues[rank.index()].peek(now, time_to_first_token)
    }

    /// Whether a request that is dispatched now can get its first token by `due`.
    pub(crate) fn can_meet(&self, due: Time, now: Time) -> bool {
        now + self.time_to_first_token <= due
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

    /// Updates the estimate with a measured time from dispatch to the first token.
    pub(crate) fn note_time_to_first_token(&mut self, sample: Duration) {
        let difference = sample.as_secs_f64() - self.time_to_first_token.as_secs_f64();
        let weight = if difference < 0.0 {
            SHORTER_SAMPLE_WEIGHT
        } else {
            LONGER_SAMPLE_WEIGHT
        };
        let time_to_first_token_s = self.time_to_first_token.as_secs_f64() + weight * difference;
        self.time_to_first_token = Duration::from_secs_f64(time_to_first_token_s.max(0.0));
    }

    /// Estimated cost in tokens of the requests that are served before a new request of `rank`.
    pub(crate) fn cost_ahead(&self, rank: Rank) -> u64 {
        self.queues[..=rank.index()]
            .iter()
            .map(RankQueue::cost)
            .sum()
    }

    /// Returns the request to evict for one of `rank`. It belongs to the least urgent rank with
    /// queued requests, and is strictly less urgent than `rank`.
    pub(crate) fn eviction_candidate_below(&self, rank: Rank) -> Option<(Rank, QueuedItem)> {
        Rank::all()
            .rev()
            .take_while(|other| rank < *other)
            .find_map(|other| Some((other, self.queues[other.index()].eviction_candidate()?)))
    }
}
