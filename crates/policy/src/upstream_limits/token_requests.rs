//! Requests tokens from the issuers of limits.

use super::*;

/// Time within which a live issuer answers.
const ISSUER_TIMEOUT: Duration = Duration::from_millis(300);

/// Consecutive unanswered token requests after which an issuer is skipped, unless a note from it
/// arrived within `LIVE_WITHIN`.
const MAX_UNANSWERED: u32 = 2;

/// Age up to which the last note from an issuer shows that it is alive.
const LIVE_WITHIN: Duration = Duration::from_millis(1_500);

/// Time for which an issuer that does not answer is skipped.
const SKIP_ISSUER_FOR: Duration = Duration::from_secs(3);

/// Base time for which requested tokens are wanted.
const TOKEN_REQUEST_LIFETIME: Duration = Duration::from_millis(250);

/// Added to `TOKEN_REQUEST_LIFETIME` for each host that may ask, so that the issuer's traffic stays
/// bounded.
const TOKEN_REQUEST_LIFETIME_PER_HOST: Duration = Duration::from_millis(10);

/// Longest time for which requested tokens are wanted at a low rate.
const MAX_TOKEN_REQUEST_LIFETIME: Duration = Duration::from_secs(2);

/// Base interval between two requests for tokens that no queued request waits for.
const PREFETCH_INTERVAL: Duration = Duration::from_secs(1);

/// Added to `PREFETCH_INTERVAL` for each host that may ask.
const PREFETCH_INTERVAL_PER_HOST: Duration = Duration::from_millis(100);

/// Maximum number of upstreams of a target for which token requests are open at a time.
pub(crate) const MAX_OPEN_TOKEN_REQUESTS: usize = 3;

/// Maximum number of tokens in one token request.
const MAX_TOKENS_PER_REQUEST: u32 = 16;

impl Controller {
    /// Requests the tokens that queued requests wait for, and prefetches some at intervals. Returns
    /// whether this host, as the issuer, granted itself tokens at once and requests are queued.
    pub(crate) fn request_tokens(&mut self, now: Time, actions: &mut Vec<Action>) -> bool {
        if self.upstream_limits.is_empty() {
            return false;
        }
        let mut granted = self.request_tokens_for_queued(now, actions);
        granted |= self.prefetch_tokens(now, actions);
        granted && self.queued_count > 0
    }

    fn request_tokens_for_queued(&mut self, now: Time, actions: &mut Vec<Action>) -> bool {
        if self.queued_count == 0 {
            return false;
        }
        let mut granted = false;
        for target in self.token_limited_targets(now) {
            let upstreams = self.token_limited_upstreams(&target, now);
            let (open, idle): (Vec<_>, Vec<_>) = upstreams.into_iter().partition(|id| {
                self.open_token_request(id)
                    .is_some_and(OpenTokenRequest::has_waiting_requests)
            });
            let open_requests: Vec<&OpenTokenRequest> = open
                .iter()
                .filter_map(|id| self.open_token_request(id))
                .collect();
            let queued = self.tokens_for_queued(&target);
            let Some(priority) = queued.first().and_then(|wanted| wanted.priority) else {
                continue;
            };
            let wanted = not_yet_requested(queued, &open_requests);
            if wanted.is_empty() {
                if open.len() < MAX_OPEN_TOKEN_REQUESTS {
                    self.query_expected_wait(now, &idle, priority, actions);
                }
                continue;
            }
            let preferred = idle
                .iter()
                .min_by_key(|id| self.shortest_wait_key(id, priority, now));
            if let Some(upstream) = preferred.filter(|_| open.len() < MAX_OPEN_TOKEN_REQUESTS) {
                granted |= self.send_token_request(now, upstream, wanted, actions);
            } else if let Some((upstream, wanted)) = self.merged_with_open_request(&open, wanted) {
                granted |= self.send_token_request(now, &upstream, wanted, actions);
            }
        }
        granted
    }

    /// Merges wanted tokens into the least urgent open token request, for when no further request
    /// may be opened. Returns the upstream and the merged tokens; `None` if `wanted` is not more
    /// urgent than that request.
    fn merged_with_open_request(
        &self,
        open: &[UpstreamId],
        wanted: Vec<WantedTokens>,
    ) -> Option<(UpstreamId, Vec<WantedTokens>)> {
        let first_rank =
            |wanted: &[WantedTokens]| wanted.first().map(|first| priority_rank(first.priority));
        let open_requests = open
            .iter()
            .filter_map(|id| Some((id, self.open_token_request(id)?)));
        let (upstream, request) =
            open_requests.max_by_key(|(_, request)| first_rank(&request.wanted))?;
        if first_rank(&wanted) >= first_rank(&request.wanted) {
            return None;
        }
        let mut counts: BTreeMap<Option<u8>, u32> = BTreeMap::new();
        for wanted in wanted.iter().chain(&request.wanted) {
            *counts.entry(wanted.priority).or_default() += wanted.count;
        }
        let merged = counts
            .into_iter()
            .filter(|(priority, count)| priority.is_some() && *count > 0)
            .map(|(priority, count)| WantedTokens { count, priority });
        Some((upstream.clone(), merged.take(peer::MAX_WANTED).collect()))
    }

    /// Asks the issuer of one more upstream how long requests of a priority would wait, so that
    /// requests that will get no token in time are refused early.
    fn query_expected_wait(
        &mut self,
        now: Time,
        upstreams: &[UpstreamId],
        priority: u8,
        actions: &mut Vec<Action>,
    ) {
        let unknown = upstreams.iter().find(|id| {
            let limit = self.pool.get(id).map(|state| &state.limit);
            limit.is_some_and(|limit| {
                let is_idle = !limit
                    .token_request
                    .as_ref()
                    .is_some_and(OpenTokenRequest::has_waiting_requests);
                is_idle && !limit.has_recent_waits(self.token_request_lifetime(limit), now)
            })
        });
        if let Some(upstream) = unknown.cloned() {
            let wanted = WantedTokens {
                count: 0,
                priority: Some(priority),
            };
            self.send_token_request(now, &upstream, vec![wanted], actions);
        }
    }

    /// Time for which requested tokens of a limit are wanted: at least until one token accrues, up
    /// to `MAX_TOKEN_REQUEST_LIFETIME`.
    fn token_request_lifetime(&self, limit: &UpstreamLimit) -> Duration {
        let lifetime =
            TOKEN_REQUEST_LIFETIME + TOKEN_REQUEST_LIFETIME_PER_HOST * self.neighbors.len() as u32;
        let rate_per_s = limit.rate_per_s().unwrap_or(1.0);
        lifetime.max(Duration::from_secs_f64(1.0 / rate_per_s).min(MAX_TOKEN_REQUEST_LIFETIME))
    }

    /// Sort key that puts the upstream with the shortest expected wait first. Each host orders
    /// equal waits differently, so that the hosts spread their token requests over the upstreams.
    fn shortest_wait_key(&self, upstream: &UpstreamId, priority: u8, now: Time) -> (u64, u64) {
        let limit = self.pool.get(upstream).map(|state| &state.limit);
        let wait = limit.and_then(|limit| limit.expected_wait(priority, now));
        let wait = wait.unwrap_or_default();
        let order = rendezvous_weight(upstream.name(), &self.options.host);
        (wait.as_millis() as u64, order)
    }

    /// Prefetches tokens for upstreams that have none. Without these tokens, an upstream that once
    /// named a limit would get no more requests: upstreams without a limit are preferred, and only
    /// a response shows whether an upstream still names a limit.
    fn prefetch_tokens(&mut self, now: Time, actions: &mut Vec<Action>) -> bool {
        let hosts = self.neighbors.len() as u32;
        let interval = PREFETCH_INTERVAL + PREFETCH_INTERVAL_PER_HOST * hosts;
        let limited = self.upstream_limits.limited.iter();
        let due = limited.filter(|id| {
            let Some(state) = self.pool.get(id) else {
                return false;
            };
            let limit = &state.limit;
            let wanted = !limit.has_token(now) && now >= limit.next_prefetch;
            wanted && limit.token_request.is_none() && !state.is_leaving(now)
        });
        let due: Vec<UpstreamId> = due
            .filter(|id| self.has_recent_demand(id, now, interval))
            .cloned()
            .collect();
        let mut granted = false;
        for upstream in due {
            let Some(state) = self.pool.get_mut(&upstream) else {
                continue;
            };
            state.limit.next_prefetch = now + interval;
            let rate_per_s = state.limit.rate_per_s().unwrap_or_default();
            let host_share = rate_per_s * interval.as_secs_f64() / f64::from(hosts + 1);
            let count = (host_share as u32).clamp(1, MAX_TOKENS_PER_REQUEST);
            let wanted = WantedTokens {
                count,
                priority: None,
            };
            granted |= self.send_token_request(now, &upstream, vec![wanted], actions);
        }
        granted
    }

    /// Whether requests that an upstream could serve arrived within a time.
    fn has_recent_demand(&self, upstream: &UpstreamId, now: Time, within: Duration) -> bool {
        let targets = self.pool.targets_of(upstream);
        let mut queues = targets
            .iter()
            .filter_map(|target| self.target_queues.get(target));
        queues.any(|queues| now.since(queues.last_arrival()) <= within)
    }

    fn open_token_request(&self, upstream: &UpstreamId) -> Option<&OpenTokenRequest> {
        self.pool.get(upstream)?.limit.token_request.as_ref()
    }

    /// Sends a token request to the issuer of a limit. Returns whether this host is the issuer and
    /// has a token now.
    fn send_token_request(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        wanted: Vec<WantedTokens>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (issuer, address) = self.token_issuer(upstream, now);
        let host = self.options.host.clone();
        let Some(state) = self.pool.get(upstream) else {
            return false;
        };
        let lifetime = self.token_request_lifetime(&state.limit);
        let Some(state) = self.pool.get_mut(upstream) else {
            return false;
        };
        state.limit.token_request = Some(OpenTokenRequest {
            answered: address.is_none(),
            issuer,
            sent: now,
            expires_at: now + lifetime,
            wanted: wanted.clone(),
        });
        let request = TokenRequest {
            asked_us: now.as_us(),
            host,
            limit: state.limit.to_note(upstream, now),
            protocol: peer::PROTOCOL,
            wanted,
            wanted_ms: lifetime.as_millis() as u32,
        };
        match address {
            Some(to) => {
                actions.push(Action::RequestTokens { ask: request, to });
                false
            }
            None => {
                self.handle_token_request(now, None, &request, actions);
                let state = self.pool.get(upstream);
                state.is_some_and(|state| state.limit.tokens.has_token(now))
            }
        }
    }

    /// Asks the host that this one considers the issuer whether it is alive, because another host
    /// seems unable to reach it.
    pub(crate) fn probe_issuer(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        actions: &mut Vec<Action>,
    ) {
        if self.open_token_request(upstream).is_none() {
            self.send_token_request(now, upstream, Vec::new(), actions);
        }
    }

    /// Drops token requests that have expired, and skips issuers that do not answer. An issuer
    /// whose notes still arrive is alive and is not skipped: with two issuers an upstream would get
    /// twice its limit.
    pub(crate) fn expire_token_requests(&mut self, now: Time) {
        for upstream in self.upstream_limits.limited.clone() {
            let Some(state) = self.pool.get_mut(&upstream) else {
                continue;
            };
            let limit = &mut state.limit;
            let Some(request) = &limit.token_request else {
                continue;
            };
            if !request.answered && now.since(request.sent) >= ISSUER_TIMEOUT {
                limit.unanswered += 1;
                let issuer = request.issuer.clone();
                let is_unresponsive = limit.unanswered >= MAX_UNANSWERED;
                limit.token_request = None;
                if is_unresponsive && !self.neighbors.received_within(&issuer, LIVE_WITHIN, now) {
                    limit.unanswered = 0;
                    let unresponsive = &mut self.upstream_limits.unresponsive;
                    unresponsive.insert(issuer, now + SKIP_ISSUER_FOR);
                    self.upstream_limits.next_issuer_check = now;
                }
            } else if now >= request.expires_at {
                limit.token_request = None;
            }
        }
    }

    /// Handles the answer of an issuer. Tokens that were requested too long ago are ignored, so
    /// that grants delayed on the network are not used.
    pub(crate) fn on_tokens_granted(&mut self, now: Time, grant: &TokenGrant) {
        let max_age = MAX_TOKEN_REQUEST_LIFETIME
            + TOKEN_REQUEST_LIFETIME_PER_HOST * self.neighbors.len() as u32;
        let Some(state) = self.pool.get_mut(&grant.upstream) else {
            return;
        };
        let asked = Time::from_us(grant.asked_us);
        let limit = &mut state.limit;
        if limit.rate().is_none() || now.since(asked) >= max_age {
            return;
        }
        let mut is_done = false;
        if let Some(request) = &mut limit.token_request {
            request.answered |= request.sent == asked;
            request.deduct_granted(grant.count);
            is_done = request.total_wanted() == 0;
        }
        limit.unanswered = 0;
        limit.record_waits(&grant.waits, now);
        limit.tokens.add_granted(grant.count, now);
        if is_done {
            limit.token_request = None;
        }
    }
}

/// The wanted tokens that are not in an open request yet, the most urgent first, at most
/// `MAX_TOKENS_PER_REQUEST`.
fn not_yet_requested(
    wanted: Vec<WantedTokens>,
    open_requests: &[&OpenTokenRequest],
) -> Vec<WantedTokens> {
    let mut left = MAX_TOKENS_PER_REQUEST;
    let rest = wanted.into_iter().map(|wanted| {
        let asked: u32 = open_requests
            .iter()
            .map(|request| request.wanted_count(wanted.priority))
            .sum();
        let count = wanted.count.saturating_sub(asked).min(left);
        left -= count;
        WantedTokens { count, ..wanted }
    });
    rest.filter(|wanted| wanted.count > 0).collect()
}
