//! Failure domains that this host cannot reach any more.

use super::*;

/// Silence after which a domain is taken to be out of reach. A running stream
/// brings news each 250 ms at the latest while its tokens flow, and lost packets
/// are sent again within some 200 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Upstreams of a domain whose streams wait for tokens, or that cannot be connected,
/// that must speak for it together, or all of them where there are fewer. With two,
/// two engines that had crashed took a sound third one with them that had nothing to
/// do at the time.
const MIN_UNRESPONSIVE: usize = 3;

/// Time between two ticks from which on this host itself stood still: then the
/// silence is its own. Ticks come each 10 to 50 ms.
const MAX_TICK_GAP: Duration = Duration::from_millis(200);

/// What is known of one domain's reach.
#[derive(Debug, Default)]
struct DomainActivity {
    /// When any upstream there was observed last.
    last_response: Time,
    /// Upstreams there to which no connection could be made since then.
    unreachable: BTreeSet<UpstreamId>,
}

impl DomainActivity {
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

/// When the upstreams of each failure domain were observed last.
///
/// What goes wrong without it: a failure domain is cut off, and each host finds
/// out by itself for each of the upstreams there, by three requests that get
/// lost; in the domain that is cut off that is most of its requests, for seconds.
/// One would notice 502 and connect errors of many upstreams at the same time.
/// Taken together, their streams and connections tell it within half a second.
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
        // One of which nothing was ever observed is not silent now.
        if let Some(activity) = self.domains.get_mut(domain) {
            activity.unreachable.insert(id.clone());
        }
    }

    /// Whether no upstream is observed any more, though some should be.
    pub(crate) fn are_all_silent(&self, states: &[UpstreamState], now: Time) -> bool {
        let mut domains = self.domains.values();
        domains.all(|activity| now.since(activity.last_response) >= SILENCE_TIMEOUT)
            && self
                .domains
                .iter()
                .any(|(domain, activity)| activity.has_enough_unresponsive(domain, states))
    }

    /// The domains that have fallen silent. None are named while this host may be
    /// the one that is cut off, as it observes nobody.
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
