//! Limits that upstreams name for the requests of all hosts together.
//!
//! In: what answers name, what other hosts tell, requests that wait. Out: whether this host may
//! send an upstream one more request, which host it asks for that right, what it grants others.
//!
//! A token is the right to send a limited upstream one request. Each limited upstream has one
//! keeper among the hosts, which all work out alike; it gives tokens out at the rate of the
//! limit. Where the limit is large for so many hosts, each has a part of its own besides, for
//! which it asks nobody.

use super::*;

mod asking;
mod keeper;
mod keeping;
mod known_hosts;
mod limit_noted;
mod starved;
mod telling;
mod token_bucket;
mod token_stock;
mod upstream_limit;

pub use limit_noted::LimitNoted;

pub(crate) use upstream_limit::UpstreamLimit;

use {
    keeper::{GivenTokens, Keeper, PendingAsk, urgency},
    token_bucket::TokenBucket,
    token_stock::TokenStock,
    upstream_limit::OpenAsk,
};

/// Slowest rate at which a limited upstream is tried: one that takes nothing is asked now and
/// then whether that still holds.
const MIN_RATE_PER_S: f64 = 0.1;

/// Time for which a token may be used.
const TOKEN_VALID: Duration = Duration::from_millis(500);

/// Time for which a limit is remembered after it was named, while the upstream is not listed.
const REMEMBERED: Duration = Duration::from_secs(3_600);

/// What a host knows of all limits.
#[derive(Debug, Default)]
pub(crate) struct UpstreamLimits {
    /// Upstreams whose limit changed, while other hosts are notified.
    changed: BTreeSet<UpstreamId>,
    /// Upstreams that name one.
    limited: BTreeSet<UpstreamId>,
    next_look: Time,
    next_refusal: Time,
    /// Hosts that did not answer, and until when they are passed over as keepers.
    silent: HashMap<HostId, Time>,
}

impl UpstreamLimits {
    /// Whether no upstream names one.
    pub(crate) fn is_empty(&self) -> bool {
        self.limited.is_empty()
    }
}

impl Controller {
    /// An upstream named its limit, or none, in the answer to a request that this host sent at
    /// a moment.
    pub(crate) fn on_limit_answered(
        &mut self,
        now: Time,
        upstream: &UpstreamId,
        limit: &AnsweredLimit,
        sent: Time,
        actions: &mut Vec<Action>,
    ) {
        let rate = match limit {
            AnsweredLimit::Absent => None,
            AnsweredLimit::Invalid(_) => return,
            AnsweredLimit::Named(rate) => Some(*rate),
        };
        if self.note_limit(now, upstream, rate, sent, NoticeSource::Own, actions)
            && let Some(state) = self.pool.get_mut(upstream)
        {
            state.limit.telling.restart(now);
            self.upstream_limits.changed.insert(upstream.clone());
        }
    }

    /// Takes what an upstream named in the answer to a request sent at a moment; whether it is
    /// news.
    fn note_limit(
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
        if !state.limit.note(limit, sent, now) {
            return false;
        }
        if limit.is_some() {
            self.upstream_limits.limited.insert(upstream.clone());
            self.look_for_keepers(now);
        } else {
            self.upstream_limits.limited.remove(upstream);
        }
        self.pool.has_limits = !self.upstream_limits.is_empty();
        actions.push(Action::NoteLimit(LimitNoted {
            limit,
            source,
            upstream: upstream.clone(),
        }));
        true
    }

    /// Takes up the limits of upstreams that are listed again.
    pub(crate) fn follow_limits(&mut self, now: Time) {
        let pool = &mut self.pool;
        let restored = pool.restore_limits();
        pool.expired_limits
            .retain(|_, limit| now.since(limit.as_of()) < REMEMBERED);
        self.upstream_limits.limited.extend(restored);
        self.pool.has_limits = !self.upstream_limits.is_empty();
    }

    /// Limits that upstreams name now.
    pub fn limited(&self) -> Vec<(UpstreamId, Rate)> {
        let limited = self.upstream_limits.limited.iter();
        let named = limited.filter_map(|id| {
            let state = self.pool.get(id)?;
            Some((id.clone(), state.limit.rate()?))
        });
        named.collect()
    }
}

impl Pool {
    /// Gives the upstreams the limits that they named before their entries lapsed, as their states
    /// are new; tells which.
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
