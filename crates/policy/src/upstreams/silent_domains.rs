//! Detection of failure domains that this host can no longer reach.

use super::*;

/// Time without a response after which a domain counts as silent. A stream reports progress at
/// least every 250 ms while its tokens flow, and lost packets are retransmitted within about 200
/// ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum number of unresponsive upstreams in a silent domain for the domain to be reported. In a
/// smaller domain, all upstreams must be unresponsive. An upstream is unresponsive if it has
/// streams in progress, which should receive tokens, or if a connection to it has failed. With a
/// minimum of two, two crashed engines would lead to the ejection of a healthy third engine that
/// was idle at the time.
const MIN_UNRESPONSIVE: usize = 3;

/// Maximum time between two ticks, which normally come every 10 to 50 ms. After a longer gap, this
/// host itself was stalled, which explains the silence.
const MAX_TICK_GAP: Duration = Duration::from_millis(200);

/// Responses and failed connections of one failure domain.
#[derive(Debug, Default)]
struct DomainActivity {
    /// When any upstream of the domain last responded.
    last_response: Time,
    /// Upstreams to which a connection has failed since the last response.
    unreachable: BTreeSet<UpstreamId>,
}

impl DomainActivity {
    /// Whether enough upstreams of the domain are unresponsive, if the domain is silent.
    fn has_enough_unresponsive(&self, domain: &FailureDomainId, states: &[UpstreamState]) -> bool {
        let upstreams = states
            .iter()
            .filter(|state| state.definition.failure_domain() == domain);
        let is_unresponsive =
            |state: &UpstreamState| state.streams > 0 || self.unreachable.contains(&state.id);
        let unresponsive = upstreams
            .clone()
            .filter(|state| is_unresponsive(state))
            .count();
        unresponsive > 0 && unresponsive >= upstreams.count().min(MIN_UNRESPONSIVE)
    }
}

/// Detects failure domains that have been cut off, from the responses of all upstreams of a domain.
///
/// Without this detection, each host would eject each upstream of such a domain separately, after
/// three lost requests. A host inside the domain that is cut off would lose most of its requests
/// for several seconds, and callers would get status 502 for connection errors of many upstreams at
/// the same time. The streams and connections of a domain together reveal the cut within half a
/// second.
#[derive(Debug, Default)]
pub(crate) struct SilentDomains {
    last_tick: Option<Time>,
    domains: BTreeMap<FailureDomainId, DomainActivity>,
}

impl SilentDomains {
    pub(crate) fn note_responsive(&mut self, domain: &FailureDomainId, now: Time) {
        if !self.domains.contains_key(domain) {
            self.domains
                .insert(domain.clone(), DomainActivity::default());
        }
        if let Some(activity) = self.domains.get_mut(domain) {
            activity.last_response = now;
            activity.unreachable.clear();
        }
    }

    pub(crate) fn note_unreachable(&mut self, domain: &FailureDomainId, id: &UpstreamId) {
        // A domain that has never responded cannot have become silent.
        if let Some(activity) = self.domains.get_mut(domain) {
            activity.unreachable.insert(id.clone());
        }
    }

    /// Whether all domains are silent, and at least one of them has enough unresponsive upstreams.
    pub(crate) fn are_all_silent(&self, states: &[UpstreamState], now: Time) -> bool {
        let mut domains = self.domains.values();
        domains.all(|activity| now.since(activity.last_response) >= SILENCE_TIMEOUT)
            && self
                .domains
                .iter()
                .any(|(domain, activity)| activity.has_enough_unresponsive(domain, states))
    }

    /// Returns the domains that have become silent. They are tracked again after their next
    /// response. If no domain responds, this host may be the one that is cut off, so none is
    /// returned.
    pub(crate) fn take_silent(
        &mut self,
        states: &[UpstreamState],
        now: Time,
    ) -> Vec<FailureDomainId> {
        let was_stalled = self
            .last_tick
            .is_some_and(|tick| now.since(tick) > MAX_TICK_GAP);
        self.last_tick = Some(now);
        if was_stalled {
            self.domains
                .values_mut()
                .for_each(|activity| activity.last_response = now);
        }
        let is_silent =
            |activity: &DomainActivity| now.since(activity.last_response) >= SILENCE_TIMEOUT;
        if self.domains.values().all(is_silent) {
            return Vec::new();
        }
        let silent = self.domains.iter().filter(|(domain, activity)| {
            is_silent(activity) && activity.has_enough_unresponsive(domain, states)
        });
        let silent: Vec<FailureDomainId> = silent.map(|(domain, _)| domain.clone()).collect();
        for domain in &silent {
            self.domains.remove(domain);
        }
        silent
    }
}
