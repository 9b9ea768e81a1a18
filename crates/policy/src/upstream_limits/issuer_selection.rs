//! Selects the token issuer of an upstream's limit among the hosts.

use super::*;

/// Time for which a host that is no longer observed still counts as one that may send requests.
/// Hosts that are cut off from each other for an hour must not each use the whole limit.
const HOST_RETENTION: Duration = Duration::from_secs(2 * 3_600);

impl Neighbors {
    /// Number of other hosts that may send requests, including hosts that are not observed now.
    pub(crate) fn remembered_count(&self, own: &HostId, now: Time) -> usize {
        // Hosts that exchange no notes with this host are in the list only, but send requests, too.
        let known = self.remembered_hosts(own, now).count();
        known.max(self.installation_size().saturating_sub(1))
    }

    /// Other hosts that may send requests and that exchange notes with this host.
    pub(crate) fn remembered_hosts(
        &self,
        own: &HostId,
        now: Time,
    ) -> impl Iterator<Item = &HostId> {
        let others = self.others_last_seen(own);
        let known = others.filter(move |(_, seen, _)| now.since(*seen) < HOST_RETENTION);
        known.map(|(host, ..)| host)
    }

    /// Whether the last note from a host arrived within a time.
    pub(crate) fn received_within(&self, host: &HostId, within: Duration, now: Time) -> bool {
        let last = self.last_received(host);
        last.is_some_and(|received| now.since(received) < within)
    }

    /// Other hosts that this host considers alive, and their addresses.
    pub(crate) fn live_hosts(
        &self,
        own: &HostId,
        now: Time,
    ) -> impl Iterator<Item = (&HostId, SocketAddr)> {
        let silence = self.silence_timeout();
        let others = self.others_with_note(own);
        let live = others.filter(move |(_, received, _)| now.since(*received) <= silence);
        live.map(|(host, _, address)| (host, address))
    }
}

impl Controller {
    /// The host that issues tokens for an upstream, and its address; the address is `None` if the
    /// issuer is this host. All hosts that observe each other select the same issuer.
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

    /// Fraction of a limit that this host and the hosts that it considers alive may use together.
    pub(crate) fn reachable_fraction(&self, now: Time) -> f64 {
        let own = &self.options.host;
        let live = self.neighbors.live_hosts(own, now).count() + 1;
        let all = self.neighbors.remembered_count(own, now) + 1;
        (live as f64 / all as f64).min(1.0)
    }
}
