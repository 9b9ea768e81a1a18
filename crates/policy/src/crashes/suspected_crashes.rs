use super::*;

/// Time between a broken connection and a sign that the upstream has ended for the two to
/// be one event: entries of upstreams that ended lapse within some four seconds.
const CONFIRMATION_WINDOW: Duration = Duration::from_secs(10);

/// Time between two looks at whether an upstream listens.
const LISTENING_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Requests whose connections broke, until it is known whether the upstream ended.
///
/// What goes wrong if each broken connection counts: an upstream that resets connections,
/// or loses answers, and lives on, bars requests that do no harm. One would notice refusals
/// with `crashes_upstreams` while no upstream starts again.
#[derive(Debug, Default)]
pub(crate) struct SuspectedCrashes {
    broken: HashMap<UpstreamId, Vec<ObservedCrash>>,
    /// Upstreams that ended, and when that was noticed.
    ended: HashMap<UpstreamId, Time>,
    /// When it was last looked whether an upstream listens.
    checked_at: HashMap<UpstreamId, Time>,
    /// Upstreams at whose address nobody listens, by failure domain: until another one of
    /// the domain is seen to listen, the whole domain may be out of reach.
    not_listening: BTreeMap<FailureDomainId, BTreeSet<UpstreamId>>,
}

impl SuspectedCrashes {
    /// Notes a broken connection; gives it back if the upstream is known to have ended, so
    /// that it is a crash.
    pub(crate) fn note_connection_broken(
        &mut self,
        broken: ObservedCrash,
    ) -> Option<ObservedCrash> {
        if self.ended.contains_key(&broken.upstream) {
            return Some(broken);
        }
        let upstream = broken.upstream.clone();
        self.broken.entry(upstream).or_default().push(broken);
        None
    }

    /// Whether to look now if an upstream listens: many connections to it break at once.
    pub(crate) fn take_check_due(&mut self, upstream: &UpstreamId, now: Time) -> bool {
        let checked_at = self.checked_at.get(upstream);
        if checked_at.is_some_and(|at| now.since(*at) < LISTENING_CHECK_INTERVAL) {
            return false;
        }
        self.checked_at.insert(upstream.clone(), now);
        true
    }

    /// Nobody listens at an upstream's address.
    pub(crate) fn note_not_listening(&mut self, upstream: &UpstreamId, domain: &FailureDomainId) {
        let not_listening = self.not_listening.entry(domain.clone()).or_default();
        not_listening.insert(upstream.clone());
    }

    /// Whether somebody was seen not to listen.
    pub(crate) fn is_not_listening(&self, upstream: &UpstreamId) -> bool {
        let mut domains = self.not_listening.values();
        domains.any(|not_listening| not_listening.contains(upstream))
    }

    /// A domain is in reach: gives the upstreams there at whose addresses nobody listens.
    pub(crate) fn take_not_listening(&mut self, domain: &FailureDomainId) -> BTreeSet<UpstreamId> {
        self.not_listening.remove(domain).unwrap_or_default()
    }

    /// Upstreams whose end was noticed before a moment.
    pub(crate) fn ended_before(&self, moment: Time) -> impl Iterator<Item = &UpstreamId> {
        let ended = self.ended.iter().filter(move |(_, at)| **at < moment);
        ended.map(|(upstream, _)| upstream)
    }

    /// An upstream has not ended after all.
    pub(crate) fn forget_end(&mut self, upstream: &UpstreamId) {
        self.ended.remove(upstream);
    }

    /// An upstream has ended; gives the requests that were there.
    pub(crate) fn note_upstream_ended(
        &mut self,
        upstream: &UpstreamId,
        now: Time,
    ) -> Vec<ObservedCrash> {
        self.ended.insert(upstream.clone(), now);
        self.confirm(upstream)
    }

    /// An upstream's entry is gone. One that leaves is not listed either, and ends later in
    /// good order: only what broke before counts.
    pub(crate) fn note_unlisted(&mut self, upstream: &UpstreamId) -> Vec<ObservedCrash> {
        self.confirm(upstream)
    }

    /// An upstream answered a request sent at a moment, so it had not ended before; true if
    /// that was believed.
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
