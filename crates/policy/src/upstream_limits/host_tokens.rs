use super::*;

/// Requests beyond its rate that an upstream may get from all hosts together if hosts have local
/// quotas. This allowance lets each local quota hold a whole token.
const LOCAL_QUOTA_BURST_TOKENS: f64 = 2.0;

/// Fraction of a limit that is divided equally among the hosts as local quotas.
pub(crate) const LOCAL_QUOTA_FRACTION: f64 = 0.5;

/// The tokens of one host for one upstream.
#[derive(Debug, Default)]
pub(crate) struct HostTokens {
    /// When each granted token expires, in order.
    granted_expiries: VecDeque<Time>,
    /// Whether the limit is new. The local quota then starts full.
    is_new: bool,
    /// This host's share of the limit, which it uses without asking the issuer.
    local_quota: TokenBucket,
}

impl HostTokens {
    /// Whether each of `hosts` hosts has a local quota. A quota must hold a whole token, and if all
    /// hosts send at once, the upstream must not get many more requests than its limit allows.
    pub(crate) fn has_local_quotas(rate_per_s: f64, hosts: usize) -> bool {
        rate_per_s + LOCAL_QUOTA_BURST_TOKENS >= hosts as f64
    }

    /// Sets the rate of the limit and the number of hosts.
    pub(crate) fn update_rate(&mut self, rate_per_s: f64, hosts: usize, now: Time) {
        let is_new = std::mem::take(&mut self.is_new);
        if Self::has_local_quotas(rate_per_s, hosts) {
            let hosts = hosts as f64;
            let max = (rate_per_s + LOCAL_QUOTA_BURST_TOKENS) / hosts;
            self.local_quota
                .set_rate(LOCAL_QUOTA_FRACTION * rate_per_s / hosts, max, now);
            if is_new {
                self.local_quota.fill();
            }
        } else {
            self.local_quota.set_rate(0.0, 0.0, now);
        }
    }

    /// Starts a new limit: drops all tokens. The local quota is filled when its rate is set.
    pub(crate) fn reset(&mut self, now: Time) {
        self.granted_expiries.clear();
        self.is_new = true;
        self.local_quota.reset(now);
    }

    pub(crate) fn add_granted(&mut self, count: u32, now: Time) {
        self.drop_expired(now);
        let tokens = (0..count).map(|_| now + TOKEN_LIFETIME);
        self.granted_expiries.extend(tokens);
    }

    pub(crate) fn has_token(&self, now: Time) -> bool {
        self.granted_expiries
            .back()
            .is_some_and(|until| now < *until)
            || self.local_quota.available(now) > 0
    }

    /// Consumes a token, if one is available.
    pub(crate) fn consume_token(&mut self, now: Time) {
        self.drop_expired(now);
        if self.granted_expiries.pop_front().is_none() && self.local_quota.available(now) > 0 {
            self.local_quota.take(1, now);
        }
    }

    fn drop_expired(&mut self, now: Time) {
        while self
            .granted_expiries
            .front()
            .is_some_and(|until| now >= *until)
        {
            self.granted_expiries.pop_front();
        }
    }
}
