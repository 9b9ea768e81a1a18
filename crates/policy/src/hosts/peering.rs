//! How hosts act together: one heartbeat an interval from each host to the
//! coordinator of its failure domain, answered with shares.

use super::*;

/// Interval for each host of the domain: the coordinator's work and traffic stay
/// the same as the domain grows.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(100);

/// Shortest interval.
const MIN_INTERVAL: Duration = Duration::from_millis(400);

/// Intervals for which shares hold without news.
const VALID_INTERVALS: u32 = 3;

/// State of the joint work with other hosts.
#[derive(Debug)]
pub(crate) struct Peering {
    pub(crate) members: Membership,
    next_heartbeat: Time,
    /// A heartbeat is under way.
    asking: bool,
    pub(crate) shares: Shares,
    coordinator: Coordinator,
    /// Whether grants held at the last tick.
    held: bool,
}

impl Peering {
    pub(crate) fn new(host: HostId, failure_domain: FailureDomainId) -> Self {
        Self {
            asking: false,
            held: false,
            members: Membership::new(host, failure_domain),
            next_heartbeat: Time::default(),
            shares: Shares::default(),
            coordinator: Coordinator::default(),
        }
    }

    pub(crate) fn follow(&mut self, scheduling: &Scheduling) {
        self.coordinator.max_headroom_share = scheduling.max_headroom_share;
    }

    fn interval(&self) -> Duration {
        (INTERVAL_PER_HOST * self.members.domain_size()).max(MIN_INTERVAL)
    }

    fn valid(&self) -> Duration {
        self.interval() * VALID_INTERVALS
    }
}

impl Controller {
    pub(crate) fn on_hosts_listed(&mut self, now: Time, hosts: Vec<PeerHost>) {
        self.peering.members.note_listed(hosts);
        self.apply_shares(now);
    }

    /// Sends a heartbeat when one is due, or divides the slots itself.
    pub(crate) fn tick_peering(&mut self, now: Time, actions: &mut Vec<Action>) {
        let held = self.peering.shares.hold(now);
        if held != self.peering.held {
            self.peering.held = held;
            self.apply_shares(now);
        }
        if now < self.peering.next_heartbeat || self.peering.asking {
            return;
        }
        self.peering.next_heartbeat = now + self.peering.interval();
        let heartbeat = self.heartbeat();
        match self.peering.members.coordinator(now) {
            Some(member) => {
                self.peering.asking = true;
                actions.push(Action::SendHeartbeat {
                    address: member.listed.address,
                    heartbeat,
                    host: member.listed.host.clone(),
                });
            }
            None => {
                let valid = self.peering.valid();
                let grants = self.divide_for(now, &heartbeat);
                self.peering.shares.grant(grants, now + valid);
                self.peering.held = true;
                self.apply_shares(now);
            }
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        let mut demand: BTreeMap<&Target, Demand> = BTreeMap::new();
        for stage in self.requests.values() {
            let facts = stage.facts();
            demand
                .entry(&facts.target)
                .or_default()
                .add(facts.rank.tier);
        }
        let demand = demand.into_iter();
        let demand = demand
            .map(|(target, demand)| (target.to_string(), demand))
            .collect();
        Heartbeat {
            demand,
            failure_domain: self.options.failure_domain.clone(),
            host: self.options.host.clone(),
            incarnation: self.options.incarnation,
            leaving: self.pool.select(UpstreamState::is_leaving_first_hand),
            phase: self.peer_phase(),
            protocol: peer::PROTOCOL,
            version: self.version(),
        }
    }

    const fn peer_phase(&self) -> PeerPhase {
        match self.phase() {
            HostPhase::Draining => PeerPhase::Draining,
            HostPhase::Serving => PeerPhase::Serving,
            HostPhase::Starting => PeerPhase::Starting,
        }
    }

    /// Answers a host of the same domain that takes this one for the coordinator.
    /// A host that asks is served even if this one would name another coordinator:
    /// two coordinators divide less well, and nothing worse.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Time,
        call: u64,
        heartbeat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let members = &mut self.peering.members;
        members.note_received(&heartbeat.host, heartbeat.phase);
        self.note_advertised_leaving(now, &heartbeat.leaving);
        self.follow_version(heartbeat.version, actions);
        let same_domain = heartbeat.failure_domain == self.options.failure_domain;
        let able = self.phase() == HostPhase::Serving && same_domain;
        let grants = able.then(|| self.divide_for(now, heartbeat));
        let answer = HeartbeatAnswer {
            grants,
            incarnation: self.options.incarnation,
            leaving: self.pool.select(UpstreamState::is_leaving_first_hand),
            protocol: peer::PROTOCOL,
            valid_ms: self.peering.valid().as_millis() as u64,
            version: self.version(),
        };
        actions.push(Action::AnswerHeartbeat { answer, call });
    }

    /// Takes the shares of an answer; they hold from the moment at which they
    /// were asked for, so a late answer gives no more time than a prompt one.
    pub(crate) fn on_heartbeat_answered(
        &mut self,
        now: Time,
        host: &HostId,
        asked: Time,
        answer: Option<HeartbeatAnswer>,
        actions: &mut Vec<Action>,
    ) {
        self.peering.asking = false;
        let Some(answer) = answer.filter(|answer| answer.grants.is_some()) else {
            self.peering.members.note_silent(host, now);
            // The next one in line is asked at the next tick.
            self.peering.next_heartbeat = now;
            return;
        };
        let members = &mut self.peering.members;
        members.note_received(host, PeerPhase::Serving);
        self.note_advertised_leaving(now, &answer.leaving);
        self.follow_version(answer.version, actions);
        let until = asked.plus_ms(answer.valid_ms);
        self.peering
            .shares
            .grant(answer.grants.unwrap_or_default(), until);
        self.peering.held = self.peering.shares.hold(now);
        self.apply_shares(now);
    }

    /// Believes a peer that upstreams are leaving, for as long as shares hold;
    /// it says so again with each exchange.
    fn note_advertised_leaving(&mut self, now: Time, upstreams: &[UpstreamId]) {
        let until = now + self.peering.valid();
        for upstream in upstreams {
            if let Some(state) = self.pool.get_mut(upstream) {
                state.departure.note_advertised(until);
            }
        }
    }

    /// A newer version at a peer is a reason to read the platform at once; it
    /// is never taken from the peer's word alone.
    fn follow_version(&self, seen: Option<ConfigVersion>, actions: &mut Vec<Action>) {
        if seen > self.version() {
            actions.push(Action::ReadConfiguration);
        }
    }

    fn divide_for(&mut self, now: Time, heartbeat: &Heartbeat) -> Vec<Grant> {
        let valid = self.peering.valid();
        let coordinator = &mut self.peering.coordinator;
        coordinator.note_demand(&heartbeat.host, &heartbeat.demand, now);
        coordinator.forget(now, valid);
        let mut hosts: BTreeSet<HostId> = self.peering.members.sharing().cloned().collect();
        if self.phase() != HostPhase::Draining {
            hosts.insert(self.options.host.clone());
        }
        hosts.insert(heartbeat.host.clone());
        let groups = self.pool.groups_to_divide();
        let keep = self.peering.interval() / 2;
        let coordinator = &mut self.peering.coordinator;
        coordinator.grants(&heartbeat.host, hosts, &groups, now, keep)
    }

    /// Puts the shares, or equal parts without them, in force.
    pub(crate) fn apply_shares(&mut self, now: Time) {
        let domain_size = self.peering.members.domain_size();
        let total_size = self.peering.members.total_size();
        let place = self.peering.members.place();
        let shares = &self.peering.shares;
        let hold = shares.hold(now);
        let own = |group: &str, slots: u32| {
            let granted = shares.of(group).filter(|_| hold);
            granted.unwrap_or_else(|| Share::equal(slots, domain_size, place))
        };
        self.pool
            .set_shares(own, |slots| equal_part(slots, total_size));
    }
}

/// At least one slot, so that no host is cut off from an upstream.
fn equal_part(slots: u32, hosts: u32) -> u32 {
    (slots / hosts.max(1)).max(1)
}
