use super::*;

/// Age of a limit from which the next request goes to the upstream that named the limit, to learn
/// whether it still does. Otherwise upstreams with a limit are chosen last.
const RECHECK_AGE: Duration = Duration::from_secs(5);

/// A token request to the issuer that is not yet fulfilled.
#[derive(Debug)]
pub(crate) struct OpenTokenRequest {
    /// Whether the issuer answered.
    pub(crate) answered: bool,
    pub(crate) issuer: HostId,
    pub(crate) sent: Time,
    /// When the tokens are no longer wanted.
    pub(crate) expires_at: Time,
    /// Tokens that are still wanted, the most urgent first.
    pub(crate) wanted: Vec<WantedTokens>,
}

impl OpenTokenRequest {
    /// Whether queued requests wait for its tokens.
    pub(crate) fn has_waiting_requests(&self) -> bool {
        let mut wanted = self.wanted.iter();
        wanted.any(|wanted| wanted.priority.is_some() && wanted.count > 0)
    }

    /// Tokens that are still wanted for requests of a priority.
    pub(crate) fn wanted_count(&self, priority: Option<u8>) -> u32 {
        let wanted = self.wanted.iter();
        let same = wanted.filter(|wanted| wanted.priority == priority);
        same.map(|wanted| wanted.count).fold(0, u32::saturating_add)
    }

    /// Tokens that are still wanted for all priorities.
    pub(crate) fn total_wanted(&self) -> u32 {
        let counts = self.wanted.iter().map(|wanted| wanted.count);
        counts.fold(0, u32::saturating_add)
    }

    /// Deducts granted tokens, those of the most urgent requests first.
    pub(crate) fn deduct_granted(&mut self, mut count: u32) {
        for wanted in &mut self.wanted {
            let taken = wanted.count.min(count);
            wanted.count -= taken;
            count -= taken;
        }
    }
}

/// The limit that an upstream names, and this host's tokens for it.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimit {
    /// When the request was sent whose response named the limit.
    as_of: Time,
    pub(crate) token_request: Option<OpenTokenRequest>,
    pub(crate) issuer: TokenIssuer,
    pub(crate) next_prefetch: Time,
    rate: Option<Rate>,
    pub(crate) tokens: HostTokens,
    pub(crate) announcements: AnnouncementSchedule,
    /// Consecutive token requests that the issuer did not answer.
    pub(crate) unanswered: u32,
    /// When the issuer expects the next token for requests of each priority.
    expected_waits: Vec<(u8, Time)>,
    /// When these expected waits arrived.
    waits_received_at: Option<Time>,
}

impl UpstreamLimit {
    pub(crate) const fn rate(&self) -> Option<Rate> {
        self.rate
    }

    pub(crate) const fn as_of(&self) -> Time {
        self.as_of
    }

    /// Rate at which tokens are issued, in requests per second; `None` without a limit.
    pub(crate) fn rate_per_s(&self) -> Option<f64> {
        self.rate.map(|rate| rate.get().max(MIN_RATE_PER_S))
    }

    /// Updates the limit from a response, unless the response to a later request is known:
    /// responses can arrive out of order. Returns whether the limit changed.
    pub(crate) fn update(&mut self, rate: Option<Rate>, sent: Time, now: Time) -> bool {
        if sent < self.as_of {
            return false;
        }
        self.as_of = sent;
        let before = std::mem::replace(&mut self.rate, rate);
        if before.is_none() && rate.is_some() {
            self.reset(now);
        }
        before != rate
    }

    /// Starts a new limit: tokens accrue from `now` on.
    fn reset(&mut self, now: Time) {
        self.token_request = None;
        self.issuer = TokenIssuer::default();
        self.tokens.reset(now);
        self.unanswered = 0;
        self.expected_waits.clear();
        self.waits_received_at = None;
    }

    /// Records how long requests are expected to wait for a token.
    pub(crate) fn record_waits(&mut self, waits: &[ExpectedWait], now: Time) {
        let waits = waits.iter().filter_map(|expected| {
            let until = now.plus_ms(u64::from(expected.wait_ms));
            Some((expected.priority?, until))
        });
        let waits: Vec<(u8, Time)> = waits.collect();
        if !waits.is_empty() {
            self.expected_waits = waits;
            self.waits_received_at = Some(now);
        }
    }

    /// Whether expected waits arrived from the issuer within `span`.
    pub(crate) fn has_recent_waits(&self, span: Duration, now: Time) -> bool {
        self.waits_received_at
            .is_some_and(|received| now.since(received) < span)
    }

    /// Expected wait for a token for a request of a priority, at least as long as for more urgent
    /// requests; `None` if no wait is known.
    pub(crate) fn expected_wait(&self, priority: u8, now: Time) -> Option<Duration> {
        let waits = self
            .expected_waits
            .iter()
            .filter(|(known, _)| *known <= priority);
        waits.map(|(_, until)| until.since(now)).max()
    }

    /// Whether the limit was named so long ago that it may no longer hold.
    pub(crate) fn needs_recheck(&self, now: Time) -> bool {
        self.rate.is_some() && now.since(self.as_of) >= RECHECK_AGE
    }

    /// Whether one more request may be sent to the upstream.
    pub(crate) fn has_token(&self, now: Time) -> bool {
        self.rate.is_none() || self.tokens.has_token(now)
    }

    /// Consumes a token for a request that is sent to the upstream.
    pub(crate) fn consume_token(&mut self, now: Time) {
        if self.rate.is_some() {
            self.tokens.consume_token(now);
        }
    }

    /// The limit as it is announced to other hosts.
    pub(crate) fn to_note(&self, upstream: &UpstreamId, now: Time) -> LimitNote {
        let age_ms = now.since(self.as_of).as_millis();
        LimitNote {
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            limit: self.rate,
            upstream: upstream.clone(),
        }
    }
}
