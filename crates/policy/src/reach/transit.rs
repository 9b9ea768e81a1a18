//! Chooses the paths to an upstream, and answers other hosts that want to reach an upstream through
//! this host.

use super::*;

/// Maximum number of other hosts through which a request tries to reach an upstream.
const MAX_TRANSIT_HOSTS: usize = 3;

impl Controller {
    /// The paths to an upstream, in the order in which they are tried. The direct path comes first
    /// unless it is lost.
    pub(crate) fn paths_to(&self, now: Time, state: &UpstreamState) -> Vec<Path> {
        if self.options.relay.is_none() {
            return vec![Path::Direct];
        }
        let targets = pool::targets_of(&state.definition);
        let mut paths = self.transit_paths(now, &state.id, &targets);
        let index = if self.own_paths.is_open(&state.id, &targets) {
            0
        } else {
            paths.len()
        };
        paths.insert(index, Path::Direct);
        paths
    }

    /// The paths through other hosts. Hosts that are not avoided come first, and among them those
    /// in this host's failure domain. Beyond that, the order differs by host and upstream, which
    /// spreads the traffic over the transit hosts.
    fn transit_paths(&self, now: Time, upstream: &UpstreamId, targets: &[Target]) -> Vec<Path> {
        let hosts = self
            .neighbors
            .transit_candidates(&self.options.host, targets, now);
        let mut hosts: Vec<(bool, bool, u64, SocketAddr)> = hosts
            .map(|(pair_weight, is_same_domain, address)| {
                let avoided = self.transit_hosts.is_avoided(address, now);
                let weight = placement::rendezvous_hash(upstream, pair_weight);
                (avoided, !is_same_domain, weight, address)
            })
            .collect();
        hosts.sort_unstable();
        // All hosts of the failure domain may have lost their paths without knowing it yet, so at
        // least one host of another domain is tried.
        let position = hosts
            .iter()
            .position(|(avoided, is_other_domain, ..)| !avoided && *is_other_domain);
        if let Some(position) = position.filter(|position| *position >= MAX_TRANSIT_HOSTS) {
            hosts.swap(position, MAX_TRANSIT_HOSTS - 1);
        }
        let hosts = hosts.into_iter().take(MAX_TRANSIT_HOSTS);
        hosts.map(|(.., address)| Path::Through(address)).collect()
    }

    /// Answers a host that wants to reach an upstream through this host. The answer has the address
    /// to connect to, or none if this host does not provide the connection.
    pub(crate) fn on_transit_asked(
        &self,
        now: Time,
        call: u64,
        upstream: &UpstreamId,
        actions: &mut Vec<Action>,
    ) {
        let state = self.pool.get(upstream);
        let state = state.filter(|state| !state.removed && !state.is_leaving(now));
        let to = state.filter(|state| {
            let targets = pool::targets_of(&state.definition);
            self.phase() == HostPhase::Serving && self.own_paths.is_open(upstream, &targets)
        });
        actions.push(Action::AnswerTransit {
            call,
            upstream_address: to.map(|state| state.definition.address()),
        });
    }

    /// What load notes tell other hosts about reaching upstreams through this host.
    pub(crate) fn reach_note(&self) -> Reachability {
        let cut_off = self.own_paths.cut_off().iter();
        Reachability {
            cut_off: cut_off.map(ToString::to_string).collect(),
            declines: self.phase() != HostPhase::Serving,
        }
    }
}
