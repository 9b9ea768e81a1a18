//! Limits that upstreams name for the requests of all hosts together.
//!
//! Input: limits in responses, limits announced by other hosts, and queued requests. Output:
//! whether this host may send an upstream one more request, which host it asks for tokens, and
//! which tokens it grants to other hosts.
//!
//! A token is the right to send one request to an upstream with a limit. Each such upstream has one
//! token issuer among the hosts. All hosts compute the same issuer. The issuer grants tokens at the
//! rate of the limit. If the limit is large enough for the number of hosts, each host also has a
//! local quota, which it uses without asking.

use super::*;

mod host_tokens;
mod issuer_selection;
mod issuing;
mod limit_announcements;
mod limit_change;
mod token_bucket;
mod token_issuer;
mod token_limited;
mod token_requests;
mod upstream_limit;

pub use limit_change::LimitChange;

pub(crate) use upstream_limit::UpstreamLimit;

use {
    host_tokens::HostTokens,
    token_bucket::TokenBucket,
    token_issuer::{IssuedTokens, PendingTokenRequest, TokenIssuer, priority_rank},
    upstream_limit::OpenTokenRequest,
};

/// Lowest rate at which tokens are issued, even if an upstream names a lower limit or zero. The few
/// requests that are sent at this rate show whether the limit still holds.
const MIN_RATE_PER_S: f64 = 0.1;

/// Time for which a granted token may be used.
const TOKEN_LIFETIME: Duration = Duration::from_millis(500);

/// Time for which the limit of an upstream that is no longer listed is kept, counted from the
/// request whose response named the limit.
const LIMIT_RETENTION: Duration = Duration::from_secs(3_600);

/// What a host knows of all limits.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimits {
    /// Upstreams whose limit changed and for which announcements to other hosts are outstanding.
    unannounced: BTreeSet<UpstreamId>,
    /// Upstreams that name a limit.
    limited: BTreeSet<UpstreamId>,
    next_issuer_check: Time,
    next_refusal_check: Time,
    /// Hosts that did not answer token requests, and until when each is skipped as an issuer.
    unresponsive: HashMap<HostId, Time>,
}

impl UpstreamLimits {
    /// Whether no upstream names a limit.
    pub(crate) fn is_empty(&self) -> bool {
        self.limited.is_empty()
    }
}

impl Controller {
    /// Handles the limit in a response, or its absence. `sent` is when this host sent the request.
    pub(crate) fn on_limit_answered(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        limit: &AdvertisedLimit,
        sent: Time,
        actions: &mut Vec<Action>,
    ) {
        let rate = match limit {
            AdvertisedLimit::Absent => None,
            AdvertisedLimit::Invalid(_) => return,
            AdvertisedLimit::Valid(rate) => Some(*rate),
        };
        if self.record_limit(now, upstream, rate, sent, NoticeSource::Own, actions)
            && let Some(state) = self.pool.get_mut(upstream)
        {
            state.limit.announcements.schedule(now);
            self.upstream_limits.unannounced.insert(upstream.clone());
        }
    }

    /// Records the limit that an upstream named in the response to a request sent at `sent`.
    /// Returns whether the limit changed.
    fn record_limit(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        limit: Option<Rate>,
        sent: Time,
        source: NoticeSource,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(state) = self.pool.get_mut(upstream) else {
            return false;
        };
        if !state.limit.update(limit, sent, now) {
            return false;
        }
        if limit.is_some() {
            self.upstream_limits.limited.insert(upstream.clone());
            self.update_issuers(now);
        } else {
            self.upstream_limits.limited.remove(upstream);
        }
        self.pool.has_limits = !self.upstream_limits.is_empty();
        actions.push(Action::NoteLimit(LimitChange {
            limit,
            source,
            upstream: upstream.clone(),
        }));
        true
    }

    /// Restores the limits of upstreams that are listed again, and drops lapsed limits that are too
    /// old.
    pub(crate) fn restore_lapsed_limits(&mut self, now: Time) {
        let pool = &mut self.pool;
        let restored = pool.restore_limits();
        pool.expired_limits
            .retain(|_, limit| now.since(limit.as_of()) < LIMIT_RETENTION);
        self.upstream_limits.limited.extend(restored);
        self.pool.has_limits = !self.upstream_limits.is_empty();
    }

    /// Limits that upstreams name now.
    pub fn named_limits(&self) -> Vec<(UpstreamId, Rate)> {
        let limited = self.upstream_limits.limited.iter();
        let named = limited.filter_map(|id| {
            let state = self.pool.get(id)?;
            Some((id.clone(), state.limit.rate()?))
        });
        named.collect()
    }
}

impl Pool {
    /// Gives upstreams that are listed again, and so have a new state, the limits that they had
    /// before their entries lapsed. Returns these upstreams.
    fn restore_limits(&mut self) -> Vec<UpstreamId> {
        let mut restored = Vec::new();
        if self.expired_limits.is_empty() {
            return restored;
        }
        for state in &mut self.states {
            if let Some(limit) = self.expired_limits.remove(&state.id) {
                state.limit = limit;
                restored.push(state.id.clone());
            }
        }
        restored
    }
}
