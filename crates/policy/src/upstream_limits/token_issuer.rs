use super::*;

/// Delay after which a host that has become the issuer issues its first token. In the meantime all
/// other hosts learn that the previous issuer is gone, or this host again observes hosts that it
/// considered gone. Without the delay two hosts could issue tokens at the same time.
const TAKEOVER_DELAY: Duration = Duration::from_secs(2);

/// Age up to which a limit is so new that no other host can have been its issuer.
const NEW_LIMIT_AGE: Duration = Duration::from_secs(2);

/// Time whose tokens an issuer accumulates at most, in addition to one token.
const BURST_S: f64 = 0.125;

/// A host that waits for tokens for requests of one priority.
#[derive(Clone, Debug)]
pub(crate) struct PendingTokenRequest {
    /// Address of the host; `None` for this host.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) asked_us: u64,
    pub(crate) host: HostId,
    pub(crate) expires_at: Time,
    pub(crate) wanted: WantedTokens,
}

/// Tokens issued to a host.
#[derive(Debug)]
pub(crate) struct IssuedTokens {
    pub(crate) address: Option<SocketAddr>,
    pub(crate) asked_us: u64,
    pub(crate) count: u32,
    pub(crate) host: HostId,
}

/// Rank by which priorities are served, the lowest first. Tokens that no queued request waits for
/// are served last.
pub(crate) fn priority_rank(priority: Option<u8>) -> u16 {
    priority.map_or(u16::MAX, u16::from)
}

/// State of a host as the issuer of an upstream's tokens: the available tokens and the hosts that
/// wait for them.
#[derive(Debug, Default)]
pub(crate) struct TokenIssuer {
    bucket: TokenBucket,
    /// Ordered by when each host began to wait or got its last token.
    pending: Vec<PendingTokenRequest>,
    /// When this host starts to issue tokens; `None` if it does not consider itself the issuer.
    issues_from: Option<Time>,
}

impl TokenIssuer {
    /// Sets whether this host is the issuer, and at which rate it issues tokens. `age` is the age
    /// of the limit.
    pub(crate) fn update_role(
        &mut self,
        is_issuer: bool,
        rate_per_s: f64,
        age: Duration,
        now: Time,
    ) {
        if !is_issuer {
            self.pending.clear();
            self.issues_from = None;
            return;
        }
        if self.issues_from.is_none() {
            let delay = if age < NEW_LIMIT_AGE {
                Duration::ZERO
            } else {
                TAKEOVER_DELAY
            };
            self.issues_from = Some(now + delay);
            self.bucket.reset(now + delay);
        }
        self.bucket
            .set_rate(rate_per_s, 1.0 + BURST_S * rate_per_s, now);
    }

    pub(crate) const fn is_issuer(&self) -> bool {
        self.issues_from.is_some()
    }

    /// Replaces the pending requests of a host. A request of a priority for which the host already
    /// waits keeps its place in the queue.
    pub(crate) fn replace_requests(&mut self, host: &HostId, requests: Vec<PendingTokenRequest>) {
        let is_wanted = |pending: &PendingTokenRequest| {
            let same =
                |request: &PendingTokenRequest| request.wanted.priority == pending.wanted.priority;
            pending.host != *host || requests.iter().any(same)
        };
        self.pending.retain(is_wanted);
        for request in requests {
            let same = |pending: &&mut PendingTokenRequest| {
                pending.host == request.host && pending.wanted.priority == request.wanted.priority
            };
            match self.pending.iter_mut().find(same) {
                Some(pending) => *pending = request,
                None => self.pending.push(request),
            }
        }
    }

    /// Whether any host waits for tokens.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Expected wait until a host's next token for requests of a priority. More urgent requests of
    /// other hosts are served first; of equally urgent requests, each host gets one token at a
    /// time.
    pub(crate) fn expected_wait(&self, host: &HostId, priority: Option<u8>, now: Time) -> Duration {
        let own = priority_rank(priority);
        let others = self.pending.iter().filter(|request| request.host != *host);
        let ahead = others.map(
            |request| match priority_rank(request.wanted.priority).cmp(&own) {
                Ordering::Less => request.wanted.count,
                Ordering::Equal => 1,
                Ordering::Greater => 0,
            },
        );
        let delay = self
            .issues_from
            .map_or(Duration::ZERO, |from| from.since(now));
        let ahead = ahead.fold(1, u32::saturating_add);
        delay.saturating_add(self.bucket.refill_time(ahead))
    }

    /// Issues the available tokens to the most urgent requests first and, among equally urgent
    /// ones, to the host that has waited longest.
    pub(crate) fn issue_tokens(&mut self, now: Time) -> Vec<IssuedTokens> {
        self.pending
            .retain(|request| now < request.expires_at && request.wanted.count > 0);
        let mut issued: Vec<IssuedTokens> = Vec::new();
        if self.issues_from.is_none_or(|from| now < from) {
            return issued;
        }
        while self.bucket.available(now) > 0 {
            let indexes = 0..self.pending.len();
            // `min_by_key` returns the first of several equal items, which has waited longest.
            let first =
                indexes.min_by_key(|index| priority_rank(self.pending[*index].wanted.priority));
            let Some(index) = first else {
                break;
            };
            self.bucket.take(1, now);
            let mut request = self.pending.remove(index);
            match issued.iter_mut().find(|issued| issued.host == request.host) {
                Some(issued) => issued.count += 1,
                None => issued.push(IssuedTokens {
                    address: request.address,
                    asked_us: request.asked_us,
                    count: 1,
                    host: request.host.clone(),
                }),
            }
            request.wanted.count -= 1;
            if request.wanted.count > 0 {
                self.pending.push(request);
            }
        }
        issued
    }

    /// Priorities for which a host waits.
    pub(crate) fn pending_priorities(&self, host: &HostId) -> Vec<Option<u8>> {
        let own = self.pending.iter().filter(|request| request.host == *host);
        own.map(|request| request.wanted.priority).collect()
    }
}
