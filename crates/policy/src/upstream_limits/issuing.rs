//! Issues tokens on the host that is the token issuer of an upstream's limit.

use super::*;

/// Base interval at which the issuer of each limit is selected again.
const ISSUER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Added to `ISSUER_CHECK_INTERVAL` for each host, because each selection computes a weight for
/// every host.
const ISSUER_CHECK_INTERVAL_PER_HOST: Duration = Duration::from_millis(2);

/// Interval at which queued requests are checked for those that will get no token in time.
const REFUSAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for which the issuer keeps a token request, even if the requesting host wants its
/// tokens for longer.
const MAX_ACCEPTED_LIFETIME: Duration = Duration::from_secs(10);

impl Controller {
    /// Announces limits, updates the issuers, refuses requests that will get no token in time, and
    /// issues tokens.
    pub(crate) fn tick_limits(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.announce_limits(now, actions);
        if self.upstream_limits.is_empty() {
            return;
        }
        if now >= self.upstream_limits.next_issuer_check {
            let hosts = self.neighbors.len() as u32;
            self.upstream_limits.next_issuer_check =
                now + ISSUER_CHECK_INTERVAL + ISSUER_CHECK_INTERVAL_PER_HOST * hosts;
            self.update_issuers(now);
        }
        if now >= self.upstream_limits.next_refusal_check {
            self.upstream_limits.next_refusal_check = now + REFUSAL_CHECK_INTERVAL;
            self.refuse_token_limited(now, actions);
        }
        self.expire_token_requests(now);
        let limited: Vec<UpstreamId> = self.upstream_limits.limited.iter().cloned().collect();
        for upstream in limited {
            self.issue_tokens(now, &upstream, actions);
        }
    }

    pub(crate) fn update_issuers(&mut self, now: Time) {
        self.upstream_limits
            .unresponsive
            .retain(|_, until| now < *until);
        let pool = &self.pool;
        let limited = &mut self.upstream_limits.limited;
        limited.retain(|id| {
            pool.get(id)
                .is_some_and(|state| state.limit.rate().is_some())
        });
        self.pool.has_limits = !self.upstream_limits.is_empty();
        let hosts = self.neighbors.remembered_count(&self.options.host, now) + 1;
        let reachable_fraction = self.reachable_fraction(now);
        for upstream in self.upstream_limits.limited.clone() {
            let (_, issuer_address) = self.token_issuer(&upstream, now);
            let Some(state) = self.pool.get_mut(&upstream) else {
                continue;
            };
            let Some(rate_per_s) = state.limit.rate_per_s() else {
                continue;
            };
            let issued_fraction = if HostTokens::has_local_quotas(rate_per_s, hosts) {
                1.0 - host_tokens::LOCAL_QUOTA_FRACTION
            } else {
                1.0
            };
            let issue_rate_per_s = issued_fraction * reachable_fraction * rate_per_s;
            let age = now.since(state.limit.as_of());
            state.limit.tokens.update_rate(rate_per_s, hosts, now);
            let issuer = &mut state.limit.issuer;
            issuer.update_role(issuer_address.is_none(), issue_rate_per_s, age, now);
        }
    }

    /// Handles a token request from another host.
    pub(crate) fn on_tokens_asked(
        &mut self,
        now: Time,
        from: SocketAddr,
        ask: &TokenRequest,
        actions: &mut Vec<Action>,
    ) {
        self.record_announced_limit(now, &ask.host, &ask.limit, actions);
        let upstream = &ask.limit.upstream;
        let Some(state) = self.pool.get(upstream) else {
            return;
        };
        if state.limit.rate().is_none() {
            let limits = vec![state.limit.to_note(upstream, now)];
            self.push_upstream_notes(&[], &limits, &[from], actions);
            return;
        }
        // A request without wanted tokens asks only whether this host is alive. It must not cause
        // another probe, or two hosts that consider each other the issuer would probe each
        // other forever.
        if !state.limit.issuer.is_issuer() && !ask.wanted.is_empty() {
            self.probe_issuer(now, upstream, actions);
        }
        self.handle_token_request(now, Some(from), ask, actions);
    }

    /// Handles a token request from another host or from this one.
    pub(crate) fn handle_token_request(
        &mut self,
        now: Time,
        address: Option<SocketAddr>,
        ask: &TokenRequest,
        actions: &mut Vec<Action>,
    ) {
        let upstream = &ask.limit.upstream;
        let Some(state) = self.pool.get_mut(upstream) else {
            return;
        };
        let lifetime = Duration::from_millis(u64::from(ask.wanted_ms)).min(MAX_ACCEPTED_LIFETIME);
        let issuer = &mut state.limit.issuer;
        if issuer.is_issuer() {
            let requests = ask.wanted.iter().map(|wanted| PendingTokenRequest {
                address,
                asked_us: ask.asked_us,
                host: ask.host.clone(),
                expires_at: now + lifetime,
                wanted: *wanted,
            });
            issuer.replace_requests(&ask.host, requests.collect());
        }
        let issued = self.issue_tokens(now, upstream, actions);
        if !issued.contains(&ask.host) {
            let issued = IssuedTokens {
                address,
                asked_us: ask.asked_us,
                count: 0,
                host: ask.host.clone(),
            };
            let priorities = ask.wanted.iter().map(|wanted| wanted.priority);
            self.send_token_grant(now, upstream, issued, priorities.collect(), actions);
        }
    }

    /// Issues the available tokens of an upstream. Returns the hosts that got some.
    fn issue_tokens(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        actions: &mut Vec<Action>,
    ) -> Vec<HostId> {
        let Some(state) = self.pool.get_mut(upstream) else {
            return Vec::new();
        };
        if !state.limit.issuer.has_pending() {
            return Vec::new();
        }
        let issued = state.limit.issuer.issue_tokens(now);
        let hosts = issued.iter().map(|issued| issued.host.clone()).collect();
        for issued in issued {
            let priorities = self.pool.get(upstream);
            let priorities =
                priorities.map(|state| state.limit.issuer.pending_priorities(&issued.host));
            let priorities = priorities.unwrap_or_default();
            self.send_token_grant(now, upstream, issued, priorities, actions);
        }
        hosts
    }

    /// Sends a host its tokens and the expected waits for the next ones.
    fn send_token_grant(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        issued: IssuedTokens,
        priorities: Vec<Option<u8>>,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.pool.get(upstream) else {
            return;
        };
        let issuer = &state.limit.issuer;
        let waits = priorities.into_iter().map(|priority| {
            let wait_ms = issuer
                .expected_wait(&issued.host, priority, now)
                .as_millis();
            ExpectedWait {
                priority,
                wait_ms: u32::try_from(wait_ms).unwrap_or(u32::MAX),
            }
        });
        let grant = TokenGrant {
            asked_us: issued.asked_us,
            count: issued.count,
            host: self.options.host.clone(),
            protocol: peer::PROTOCOL,
            upstream: upstream.clone(),
            waits: waits.collect(),
        };
        match issued.address {
            Some(to) => actions.push(Action::GrantTokens { grant, to }),
            None => self.on_tokens_granted(now, &grant),
        }
    }
}
