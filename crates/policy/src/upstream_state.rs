use super::*;

/// Weight of the newest sample in the moving average of the token time.
const NEWEST_WEIGHT: f64 = 0.1;

/// Pause after an upstream refused a request for want of room.
const BUSY_PAUSE: Duration = Duration::from_millis(200);

/// Least urgent tier that may go beyond an engine's slots into its own queue,
/// which the engine serves by priority.
const LAST_PRESSING_TIER: usize = 1;

/// What a host knows of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) definition: Upstream,
    pub(crate) health: Health,
    pub(crate) id: UpstreamId,
    /// Requests that this host has there.
    pub(crate) in_flight: u32,
    /// Trial requests among them.
    pub(crate) in_flight_trial: u32,
    /// Until when a peer's word that it is leaving is believed.
    pub(crate) told_leaving_until: Time,
    /// Leaving by the platform's list.
    pub(crate) listed_leaving: bool,
    /// Not configured any more.
    pub(crate) removed: bool,
    /// Slots that this host may fill.
    pub(crate) share: u32,
    /// Moving average of the time between two tokens.
    pub(crate) token_time_ms: Option<f64>,
    busy_until: Time,
    /// Requests of other hosts there, by the last load report.
    others: u32,
    /// Leaving by its own load report.
    reported_leaving: bool,
}

impl UpstreamState {
    pub(crate) fn new(id: UpstreamId, definition: Upstream) -> Self {
        Self {
            busy_until: Time::default(),
            health: Health::default(),
            id,
            in_flight: 0,
            in_flight_trial: 0,
            told_leaving_until: Time::default(),
            listed_leaving: false,
            others: 0,
            removed: false,
            reported_leaving: false,
            share: definition.slots(),
            token_time_ms: None,
            definition,
        }
    }

    pub(crate) fn note_report(&mut self, report: LoadReport) {
        self.reported_leaving = report.leaving;
        let reported = report.running + report.waiting;
        self.others = reported.saturating_sub(self.in_flight);
    }

    pub(crate) fn note_busy(&mut self, now: Time) {
        self.busy_until = now + BUSY_PAUSE;
    }

    pub(crate) fn note_tokens(&mut self, tokens: Tokens, span: Duration) {
        if tokens.get() == 0 {
            return;
        }
        let sample = span.as_secs_f64() * 1_000.0 / f64::from(tokens.get());
        let average = self.token_time_ms.get_or_insert(sample);
        *average += NEWEST_WEIGHT * (sample - *average);
    }

    /// Whether the list or the upstream itself says that it is leaving: what
    /// peers are told. Their own word is not passed on, or it would go round
    /// for ever.
    pub(crate) const fn is_said_leaving(&self) -> bool {
        self.listed_leaving || self.reported_leaving
    }

    /// Whether any source says that it is leaving; one is enough.
    pub(crate) fn is_leaving(&self, now: Time) -> bool {
        self.is_said_leaving() || self.removed || now < self.told_leaving_until
    }

    /// Whether it takes new work at all.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        !self.is_leaving(now) && self.health.is_well() && now >= self.busy_until
    }

    /// Whether one more request of `rank` fits.
    pub(crate) fn has_room(&self, rank: Rank, room: &RoomRules, now: Time) -> bool {
        if !self.is_open(now) {
            return false;
        }
        let slots = (f64::from(self.share) * self.health.share(now)).ceil() as u32;
        if rank.tier.index() <= LAST_PRESSING_TIER {
            return self.in_flight < slots || self.has_overdraft(room, now);
        }
        let headroom = (f64::from(slots) * room.headroom_share).floor() as u32;
        let fits = self.in_flight < slots - headroom;
        fits && (rank.plan == Plan::Paid || self.in_flight_trial < self.trial_limit(room))
    }

    /// Whether a pressing request fits beyond the share. While the upstream
    /// comes back slowly its slots are not to be overdrawn.
    fn has_overdraft(&self, room: &RoomRules, now: Time) -> bool {
        let Upstream::Engine(engine) = &self.definition else {
            return false;
        };
        let there = self.in_flight + self.others;
        let own_alone = self.share >= engine.slots;
        let slow_start = self.health.share(now) < 1.0;
        match room.overdraft {
            Overdraft::EngineQueue => there < engine.slots + engine.queue_bound,
            Overdraft::None => false,
            Overdraft::ReportedFree => !own_alone && !slow_start && there < engine.slots,
        }
    }

    fn trial_limit(&self, room: &RoomRules) -> u32 {
        (f64::from(self.share) * room.trial_share).floor().max(1.0) as u32
    }

    /// How full it is, 1 for all slots taken, counting what other hosts have
    /// there by its last report.
    pub(crate) fn fullness(&self) -> f64 {
        f64::from(self.in_flight + self.others) / f64::from(self.definition.slots().max(1))
    }

    /// Whether it gives tokens fast enough for a target.
    pub(crate) fn keeps_pace(&self, target_ms: u64) -> bool {
        self.token_time_ms.is_none_or(|ms| ms <= target_ms as f64)
    }
}
