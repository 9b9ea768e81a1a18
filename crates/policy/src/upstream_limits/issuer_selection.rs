//! Which host is the keeper of an upstream's limit.

use super::*;

/// Time for which a host that is not observed counts as one that may send, too: hosts that are cut
/// off from each other for an hour must not both spend the whole limit.
const HOST_RETENTION: Duration = Duration::from_secs(2 * 3_600);

impl Neighbors {
    /// Other hosts that may send requests, also those that are not observed now.
    pub(crate) fn remembered_count(&self, own: &HostId, now: Time) -> usize {
        // Those that exchange no notes with this one send, too.
        let known = self.remembered_hosts(own, now).count();
        known.max(self.listed().saturating_sub(1))
    }

    /// Those of them that exchange notes with this one.
    pub(crate) fn remembered_hosts(
        &self,
        own: &HostId,
        now: Time,
    ) -> impl Iterator<Item = &HostId> {
        let others = self.others(own);
        let known = others.filter(move |(_, seen, _)| now.since(*seen) < HOST_RETENTION);
        known.map(|(host, ..)| host)
    }

    /// Whether a note of a host came within a time.
    pub(crate) fn received_within(&self, host: &HostId, within: Duration, now: Time) -> bool {
        let last = self.last_received(host);
        last.is_some_and(|received| now.since(received) < within)
    }

    /// Other hosts that live, as far as this one knows, and where they are reached.
    pub(crate) fn live_hosts(
        &self,
        own: &HostId,
        now: Time,
    ) -> impl Iterator<Item = (&HostId, SocketAddr)> {
        let silence = self.longest_silence();
        let others = self.received_others(own);
        let live = others.filter(move |(_, received, _)| now.since(*received) <= silence);
        live.map(|(host, _, address)| (host, address))
    }
}

impl Controller {
    /// The host that keeps an upstream's limit, and where it is reached: `None` in the address
    /// for this one. All hosts that observe each other work out the same one.
    pub(crate) fn token_issuer(
        &self,
        upstream: &UpstreamId,
        now: Time,
    ) -> (HostId, Option<SocketAddr>) {
        let own = &self.options.host;
        let unresponsive = &self.upstream_limits.unresponsive;
        let is_unresponsive =
            |host: &HostId| unresponsive.get(host).is_some_and(|until| now < *until);
        let others = self.neighbors.live_hosts(own, now);
        let others = others.filter(|(host, _)| !is_unresponsive(host));
        let others = others.map(|(host, address)| (host, Some(address)));
        let hosts = others.chain([(own, None)]);
        let key = upstream.to_string();
        let issuer = hosts.max_by_key(|(host, _)| rendezvous_weight(&key, host));
        issuer.map_or_else(
            || (own.clone(), None),
            |(host, address)| (host.clone(), address),
        )
    }

    /// The part of a limit that the hosts which observe each other may spend.
    pub(crate) fn reachable_fraction(&self, now: Time) -> f64 {
        let own = &self.options.host;
        let live = self.neighbors.live_hosts(own, now).count() + 1;
        let all = self.neighbors.remembered_count(own, now) + 1;
        (live as f64 / all as f64).min(1.0)
    }
}
