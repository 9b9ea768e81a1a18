use super::*;

/// Maximum time between a broken connection and a sign of the end of its upstream for the two to
/// count as one event. Directory entries of ended upstreams expire within about 4 s.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(10);

/// Minimum time between two checks of whether an upstream listens.
const LISTENING_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Requests whose connections broke, kept until it is known whether the upstream ended.
///
/// A broken connection alone doesn't count as a crash. Otherwise, an upstream that resets
/// connections or loses responses but keeps running would get harmless requests barred, and callers
/// would see refusals with `crashes_upstreams` although no upstream restarts.
#[derive(Debug, Default)]
pub(crate) struct SuspectedCrashes {
    broken: HashMap<UpstreamId, Vec<ObservedCrash>>,
    /// Ended upstreams, with the time at which the end was noticed.
    ended: HashMap<UpstreamId, Time>,
    /// Time of the last check of whether an upstream listens.
    checked_at: HashMap<UpstreamId, Time>,
    /// Upstreams that don't listen, by failure domain. The whole domain may be unreachable until
    /// another of its upstreams is seen listening.
    not_listening: BTreeMap<FailureDomainId, BTreeSet<UpstreamId>>,
}

impl SuspectedCrashes {
    /// Whether the upstream is known to have ended.
    pub(crate) fn has_ended(&self, upstream: &UpstreamId) -> bool {
        self.ended.contains_key(upstream)
    }

    /// Notes a broken connection. The crashes count once the upstream is known to have ended.
    pub(crate) fn note_connection_broken(
        &mut self,
        upstream: &UpstreamId,
        crashes: Vec<ObservedCrash>,
    ) {
        let broken = self.broken.entry(upstream.clone()).or_default();
        broken.extend(crashes);
    }

    /// Whether to check now if an upstream listens. The rate of checks is limited because many
    /// connections to an upstream break at once.
    pub(crate) fn take_check_due(&mut self, upstream: &UpstreamId, now: Time) -> bool {
        let checked_at = self.checked_at.get(upstream);
        if checked_at.is_some_and(|at| now.since(*at) < LISTENING_CHECK_INTERVAL) {
            return false;
        }
        self.checked_at.insert(upstream.clone(), now);
        true
    }

    /// Notes that nothing listens at an upstream's address.
    pub(crate) fn note_not_listening(&mut self, upstream: &UpstreamId, domain: &FailureDomainId) {
        let not_listening = self.not_listening.entry(domain.clone()).or_default();
        not_listening.insert(upstream.clone());
    }

    /// Whether the upstream was found not to listen.
    pub(crate) fn is_not_listening(&self, upstream: &UpstreamId) -> bool {
        let mut domains = self.not_listening.values();
        domains.any(|not_listening| not_listening.contains(upstream))
    }

    /// Removes and returns the upstreams of a reachable domain that were found not to listen.
    pub(crate) fn take_not_listening(&mut self, domain: &FailureDomainId) -> BTreeSet<UpstreamId> {
        self.not_listening.remove(domain).unwrap_or_default()
    }

    /// Upstreams whose end was noticed before the given time.
    pub(crate) fn ended_before(&self, moment: Time) -> impl Iterator<Item = &UpstreamId> {
        let ended = self.ended.iter().filter(move |(_, at)| **at < moment);
        ended.map(|(upstream, _)| upstream)
    }

    /// Forgets the end of an upstream that turned out not to have ended.
    pub(crate) fn forget_end(&mut self, upstream: &UpstreamId) {
        self.ended.remove(upstream);
    }

    /// Notes that an upstream ended, and returns its broken connections as crashes.
    pub(crate) fn note_upstream_ended(
        &mut self,
        upstream: &UpstreamId,
        now: Time,
    ) -> Vec<ObservedCrash> {
        self.ended.insert(upstream.clone(), now);
        self.confirm(upstream)
    }

    /// Notes that the entry of an upstream is gone, and returns its broken connections as crashes.
    /// A leaving upstream is unlisted too and ends later as planned, so connections that break from
    /// now on don't count.
    pub(crate) fn note_unlisted(&mut self, upstream: &UpstreamId) -> Vec<ObservedCrash> {
        self.confirm(upstream)
    }

    /// Notes that an upstream responded to a request sent at the given time, so it had not ended
    /// before then. Returns whether it was thought to have ended.
    pub(crate) fn note_alive(&mut self, upstream: &UpstreamId, sent: Time) -> bool {
        if let Some(broken) = self.broken.get_mut(upstream) {
            broken.retain(|broken| broken.at >= sent);
            if broken.is_empty() {
                self.broken.remove(upstream);
            }
        }
        let believed = self.ended.get(upstream).is_some_and(|at| *at < sent);
        if believed {
            self.ended.remove(upstream);
        }
        believed
    }

    pub(crate) fn forget(&mut self, now: Time) {
        let recent = |at: Time| now.since(at) < CONFIRMATION_WINDOW;
        self.ended.retain(|_, at| recent(*at));
        self.checked_at.retain(|_, at| recent(*at));
        for broken in self.broken.values_mut() {
            broken.retain(|broken| recent(broken.at));
        }
        self.broken.retain(|_, broken| !broken.is_empty());
        let broken = &self.broken;
        for not_listening in self.not_listening.values_mut() {
            not_listening.retain(|upstream| broken.contains_key(upstream));
        }
        self.not_listening
            .retain(|_, not_listening| !not_listening.is_empty());
    }

    fn confirm(&mut self, upstream: &UpstreamId) -> Vec<ObservedCrash> {
        self.broken.remove(upstream).unwrap_or_default()
    }
}
