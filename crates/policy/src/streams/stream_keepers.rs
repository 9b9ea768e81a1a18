use super::*;

/// Number of hosts that the version of a stream is reported to. They are in different failure
/// domains where possible, so that the loss of one domain leaves one of them.
const REPORTED_KEEPERS: usize = 2;

/// Number of hosts that are asked for the version of a stream. It exceeds [`REPORTED_KEEPERS`], as
/// two hosts may know different sets of hosts, and neither counts itself.
const ASKED_KEEPERS: usize = 4;

/// Rendezvous hashing key of hosts as keepers of streams.
const KEEPER_KEY: &str = "stream keeper";

/// A host that may keep the versions of streams for others.
#[derive(Debug)]
struct Keeper {
    address: SocketAddr,
    failure_domain: FailureDomainId,
    hash: u64,
    host: HostId,
}

/// The other listed hosts, among which the keepers of each stream are chosen by rendezvous hashing.
#[derive(Debug, Default)]
pub(crate) struct StreamKeepers {
    hosts: Vec<Keeper>,
}

impl StreamKeepers {
    /// Replaces the listed hosts.
    pub(crate) fn note_listed(&mut self, own: &HostId, peers: &[PeerHost]) {
        let others = peers.iter().filter(|peer| peer.host != *own);
        let others = others.filter(|peer| !peer.leaving);
        self.hosts = others
            .map(|peer| Keeper {
                address: peer.address,
                failure_domain: peer.failure_domain.clone(),
                hash: rendezvous_weight(KEEPER_KEY, &peer.host),
                host: peer.host.clone(),
            })
            .collect();
    }

    /// Whether no other host is listed.
    pub(crate) const fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// The hosts that the version of a stream is reported to.
    pub(crate) fn to_report_to(
        &self,
        stream: StreamId,
        is_silent: impl Fn(&HostId) -> bool,
    ) -> Vec<SocketAddr> {
        self.first(stream, REPORTED_KEEPERS, is_silent)
    }

    /// The hosts that are asked for the version of a stream.
    pub(crate) fn to_ask(
        &self,
        stream: StreamId,
        is_silent: impl Fn(&HostId) -> bool,
    ) -> Vec<SocketAddr> {
        self.first(stream, ASKED_KEEPERS, is_silent)
    }

    /// The first keepers of a stream: the first of each failure domain, then the others. If a host
    /// joins or leaves, the first two stay among the first three.
    fn first(
        &self,
        stream: StreamId,
        count: usize,
        is_silent: impl Fn(&HostId) -> bool,
    ) -> Vec<SocketAddr> {
        let keepers = self.hosts.iter().filter(|keeper| !is_silent(&keeper.host));
        let weighted = keepers.map(|keeper| (prompt_cache::mix(keeper.hash, stream.get()), keeper));
        let mut weighted: Vec<(u64, &Keeper)> = weighted.collect();
        weighted.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
        let mut domains: Vec<&FailureDomainId> = Vec::new();
        let (mut first, others): (Vec<&Keeper>, Vec<&Keeper>) = weighted
            .into_iter()
            .map(|(_, keeper)| keeper)
            .partition(|keeper| {
                let is_first = !domains.contains(&&keeper.failure_domain);
                if is_first {
                    domains.push(&keeper.failure_domain);
                }
                is_first
            });
        first.extend(others);
        let chosen = first.into_iter().take(count);
        chosen.map(|keeper| keeper.address).collect()
    }
}
