use super::*;

/// Time from which a host believes itself to be the keeper to its first token. Meanwhile all
/// others learn that the last keeper has gone, or this host observes those that it thought gone.
const TAKEOVER_DELAY: Duration = Duration::from_secs(2);

/// Age of a limit up to which no other host can have been its keeper.
const NEW_LIMIT_AGE: Duration = Duration::from_secs(2);

/// Tokens that a keeper holds at the most: one, and those of an eighth of a second.
const BURST_S: f64 = 0.125;

/// A host that waits for tokens, for requests of one priority.
#[derive(Clone, Debug)]
pub(crate) struct PendingTokenRequest {
    /// Where the host is reached; `None` for this host.
    pub(crate) address: Option<SocketAddr>,
    pub(crate) asked_us: u64,
    pub(crate) host: HostId,
    pub(crate) expires_at: Time,
    pub(crate) wanted: WantedTokens,
}

/// Tokens given to a host.
#[derive(Debug)]
pub(crate) struct IssuedTokens {
    pub(crate) address: Option<SocketAddr>,
    pub(crate) asked_us: u64,
    pub(crate) count: u32,
    pub(crate) host: HostId,
}

/// The order in which priorities are served: requests that do not wait yet come last.
pub(crate) fn priority_rank(priority: Option<u8>) -> u16 {
    priority.map_or(u16::MAX, u16::from)
}

/// What the keeper of an upstream's limit has given out, and who waits.
#[derive(Debug, Default)]
pub(crate) struct TokenIssuer {
    bucket: TokenBucket,
    /// In the order in which hosts began to wait, or got their last token.
    pending: Vec<PendingTokenRequest>,
    /// From when on this host gives tokens out, if it is the keeper as far as it knows.
    issues_from: Option<Time>,
}

impl TokenIssuer {
    /// Notes whether this host is the keeper, and at which rate it gives tokens out.
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

    /// Takes what a host wants, in place of what it wanted before. For a priority for which it
    /// waits already it keeps its place.
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

    /// Whether tokens are wanted.
    pub(crate) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Expected time until a host's next token for requests of a priority. What is more urgent
    /// goes first; of equal ones each gets one token at a time.
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
        delay + self.bucket.refill_time(ahead.sum::<u32>() + 1)
    }

    /// Gives out the tokens that are there, to the most urgent first, and of equal ones to who
    /// has waited longest.
    pub(crate) fn issue_tokens(&mut self, now: Time) -> Vec<IssuedTokens> {
        self.pending
            .retain(|request| now < request.expires_at && request.wanted.count > 0);
        let mut issued: Vec<IssuedTokens> = Vec::new();
        if self.issues_from.is_none_or(|from| now < from) {
            return issued;
        }
        while self.bucket.available(now) > 0 {
            let indexes = 0..self.pending.len();
            // The first one of equal ones.
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
