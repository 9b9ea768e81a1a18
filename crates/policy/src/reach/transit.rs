//! The choice of paths to an upstream, and what other hosts are answered that want to reach one
//! through this host.

use super::*;

/// Hosts through which one request may be sent.
const MAX_THROUGH: usize = 3;

impl Controller {
    /// The paths to an upstream, in the order in which they are tried.
    pub(crate) fn paths_to(&self, now: Time, state: &UpstreamState) -> Vec<Path> {
        if self.options.relay.is_none() {
            return vec![Path::Direct];
        }
        let targets = pool::targets_of(&state.definition);
        let mut paths = self.paths_through(now, &state.id, &targets);
        let place = if self.own_paths.is_open(&state.id, &targets) {
            0
        } else {
            paths.len()
        };
        paths.insert(place, Path::Direct);
        paths
    }

    /// Paths through other hosts, those of the own failure domain first. Which of them is the first
    /// for an upstream differs by host and upstream, so that each carries a part.
    fn paths_through(&self, now: Time, upstream: &UpstreamId, targets: &[Target]) -> Vec<Path> {
        let hosts = self
            .neighbors
            .able_to_connect(&self.options.host, targets, now);
        let mut hosts: Vec<(bool, bool, u64, SocketAddr)> = hosts
            .map(|(place, is_near, address)| {
                let avoided = self.transit.is_avoided(address, now);
                let weight = placement::rendezvous_hash(upstream, place);
                (avoided, !is_near, weight, address)
            })
            .collect();
        hosts.sort_unstable();
        // A whole failure domain may have lost its paths, and not know it yet.
        let far = hosts
            .iter()
            .position(|(avoided, is_far, ..)| !avoided && *is_far);
        if let Some(far) = far.filter(|far| *far >= MAX_THROUGH) {
            hosts.swap(far, MAX_THROUGH - 1);
        }
        let hosts = hosts.into_iter().take(MAX_THROUGH);
        hosts.map(|(.., address)| Path::Through(address)).collect()
    }

    /// Answers a host that wants to reach an upstream through this one: where to connect.
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
            to: to.map(|state| state.definition.address()),
        });
    }

    /// What other hosts are told of reaching upstreams through this one.
    pub(crate) fn reach_note(&self) -> ReachNote {
        let cut_off = self.own_paths.cut_off().iter();
        ReachNote {
            cut_off: cut_off.map(ToString::to_string).collect(),
            declines: self.phase() != HostPhase::Serving,
        }
    }
}
