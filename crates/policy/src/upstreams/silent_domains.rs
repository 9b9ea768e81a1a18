//! Failure domains that this host cannot reach any more.

use super::*;

/// Silence after which a domain is taken to be out of reach. A running stream
/// brings news each 250 ms at the latest while its tokens flow, and lost packets
/// are sent again within some 200 ms.
const SILENCE: Duration = Duration::from_millis(500);

/// Upstreams of a domain whose streams wait for tokens, or that cannot be connected,
/// that must speak for it together, or all of them where there are fewer. With two,
/// two engines that had crashed took a sound third one with them that had nothing to
/// do at the time.
const MIN_WITNESSES: usize = 3;

/// Time between two ticks from which on this host itself stood still: then the
/// silence is its own. Ticks come each 10 to 50 ms.
const OWN_PAUSE: Duration = Duration::from_millis(200);

/// What is known of one domain's reach.
#[derive(Debug, Default)]
struct Reach {
    /// When any upstream there was observed last.
    last_response: Time,
    /// Upstreams there to which no connection could be made since then.
    unreachable: BTreeSet<UpstreamId>,
}

impl Reach {
    fn has_witnesses(&self, domain: &FailureDomainId, states: &[UpstreamState]) -> bool {
        let there = states
            .iter()
            .filter(|state| state.definition.failure_domain() == domain);
        let speaks =
            |state: &UpstreamState| state.streams > 0 || self.unreachable.contains(&state.id);
        let witnesses = there.clone().filter(|state| speaks(state)).count();
        witnesses > 0 && witnesses >= there.count().min(MIN_WITNESSES)
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
    reaches: BTreeMap<FailureDomainId, Reach>,
}

impl SilentDomains {
    pub(crate) fn note_responsive(&mut self, domain: &FailureDomainId, now: Time) {
        if !self.reaches.contains_key(domain) {
            self.reaches.insert(domain.clone(), Reach::default());
        }
        if let Some(reach) = self.reaches.get_mut(domain) {
            reach.last_response = now;
            reach.unreachable.clear();
        }
    }

    pub(crate) fn note_unreachable(&mut self, domain: &FailureDomainId, id: &UpstreamId) {
        // One of which nothing was ever observed is not silent now.
        if let Some(reach) = self.reaches.get_mut(domain) {
            reach.unreachable.insert(id.clone());
        }
    }

    /// Whether no upstream is observed any more, though some should be.
    pub(crate) fn is_all_silent(&self, states: &[UpstreamState], now: Time) -> bool {
        let mut reaches = self.reaches.values();
        reaches.all(|reach| now.since(reach.last_response) >= SILENCE)
            && self
                .reaches
                .iter()
                .any(|(domain, reach)| reach.has_witnesses(domain, states))
    }

    /// The domains that have fallen silent. None are named while this host may be
    /// the one that is cut off, as it observes nobody.
    pub(crate) fn take_silent(
        &mut self,
        states: &[UpstreamState],
        now: Time,
    ) -> Vec<FailureDomainId> {
        let paused = self
            .last_tick
            .is_some_and(|tick| now.since(tick) > OWN_PAUSE);
        self.last_tick = Some(now);
        if paused {
            self.reaches
                .values_mut()
                .for_each(|reach| reach.last_response = now);
        }
        let is_silent = |reach: &Reach| now.since(reach.last_response) >= SILENCE;
        if self.reaches.values().all(is_silent) {
            return Vec::new();
        }
        let silent = self
            .reaches
            .iter()
            .filter(|(domain, reach)| is_silent(reach) && reach.has_witnesses(domain, states));
        let silent: Vec<FailureDomainId> = silent.map(|(domain, _)| domain.clone()).collect();
        for domain in &silent {
            self.reaches.remove(domain);
        }
        silent
    }
}
