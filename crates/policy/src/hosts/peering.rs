//! The exchange between a host and the coordinator of its failure domain: each host sends the
//! coordinator one heartbeat per interval, and the answer contains the host's shares.

use super::*;

/// Heartbeat interval per host of the domain. The interval grows with the domain, so that the load
/// and the traffic of the coordinator stay constant.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(100);

/// Minimum heartbeat interval.
const MIN_INTERVAL: Duration = Duration::from_millis(400);

/// Number of heartbeat intervals for which shares are valid if they are not renewed.
const VALID_INTERVALS: u32 = 3;

/// State of the exchange with the other hosts of the failure domain.
#[derive(Debug)]
pub(crate) struct Peering {
    pub(crate) members: Membership,
    next_heartbeat: Time,
    /// Whether a heartbeat was sent that has not been answered yet.
    awaiting_answer: bool,
    pub(crate) shares: Shares,
    coordinator: Coordinator,
    /// Whether the grants were valid when they were last checked.
    had_grants: bool,
}

impl Peering {
    pub(crate) fn new(host: HostId, failure_domain: FailureDomainId) -> Self {
        Self {
            awaiting_answer: false,
            had_grants: false,
            members: Membership::new(host, failure_domain),
            next_heartbeat: Time::default(),
            shares: Shares::default(),
            coordinator: Coordinator::default(),
        }
    }

    pub(crate) fn apply_scheduling(&mut self, scheduling: &Scheduling) {
        self.coordinator.max_headroom_share = scheduling.max_headroom_share;
    }

    fn heartbeat_interval(&self) -> Duration {
        (INTERVAL_PER_HOST * self.members.domain_size()).max(MIN_INTERVAL)
    }

    fn share_validity(&self) -> Duration {
        self.heartbeat_interval() * VALID_INTERVALS
    }
}

impl Controller {
    pub(crate) fn on_hosts_listed(&mut self, now: Time, hosts: Vec<PeerHost>) {
        self.peering.members.note_listed(hosts);
        self.apply_shares(now);
    }

    /// When a heartbeat is due, sends it to the coordinator, or allocates the slots if this host is
    /// the coordinator. Falls back to equal shares when the grants have expired.
    pub(crate) fn tick_peering(&mut self, now: Time, actions: &mut Vec<Action>) {
        let has_grants = self.peering.shares.are_valid(now);
        if has_grants != self.peering.had_grants {
            self.peering.had_grants = has_grants;
            self.apply_shares(now);
        }
        if now < self.peering.next_heartbeat || self.peering.awaiting_answer {
            return;
        }
        self.peering.next_heartbeat = now + self.peering.heartbeat_interval();
        let heartbeat = self.heartbeat();
        match self.peering.members.coordinator(now) {
            Some(member) => {
                self.peering.awaiting_answer = true;
                actions.push(Action::SendHeartbeat {
                    address: member.listing.address,
                    heartbeat,
                    host: member.listing.host.clone(),
                });
            }
            None => {
                let validity = self.peering.share_validity();
                let grants = self.allocate_for(now, &heartbeat);
                self.peering.shares.grant(grants, now + validity);
                self.peering.had_grants = true;
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

    /// Answers a heartbeat. A host of the same domain gets shares even if this host considers
    /// another host the coordinator: with two coordinators the slots are allocated less well, but
    /// nothing breaks.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Time,
        call: u64,
        heartbeat: &Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        let members = &mut self.peering.members;
        members.note_alive(&heartbeat.host, heartbeat.phase);
        self.note_advertised_leaving(now, &heartbeat.leaving);
        self.read_if_newer(heartbeat.version, actions);
        let same_domain = heartbeat.failure_domain == self.options.failure_domain;
        let can_coordinate = self.phase() == HostPhase::Serving && same_domain;
        let grants = can_coordinate.then(|| self.allocate_for(now, heartbeat));
        let answer = HeartbeatAnswer {
            grants,
            incarnation: self.options.incarnation,
            leaving: self.pool.select(UpstreamState::is_leaving_first_hand),
            protocol: peer::PROTOCOL,
            valid_ms: self.peering.share_validity().as_millis() as u64,
            version: self.version(),
        };
        actions.push(Action::AnswerHeartbeat { answer, call });
    }

    /// Applies the shares in an answer. Their validity starts when the heartbeat was sent, so that
    /// a late answer is not valid for longer than a prompt one.
    pub(crate) fn on_heartbeat_answered(
        &mut self,
        now: Time,
        host: &HostId,
        asked: Time,
        answer: Option<HeartbeatAnswer>,
        actions: &mut Vec<Action>,
    ) {
        self.peering.awaiting_answer = false;
        let Some(answer) = answer.filter(|answer| answer.grants.is_some()) else {
            self.peering.members.note_unanswered(host, now);
            // The next candidate for the coordinator is asked at the next tick.
            self.peering.next_heartbeat = now;
            return;
        };
        let members = &mut self.peering.members;
        members.note_alive(host, PeerPhase::Serving);
        self.note_advertised_leaving(now, &answer.leaving);
        self.read_if_newer(answer.version, actions);
        let until = asked.plus_ms(answer.valid_ms);
        self.peering
            .shares
            .grant(answer.grants.unwrap_or_default(), until);
        self.peering.had_grants = self.peering.shares.are_valid(now);
        self.apply_shares(now);
    }

    /// Marks upstreams as leaving that a peer reports as leaving. The mark expires like shares,
    /// because the peer repeats the report with each exchange.
    fn note_advertised_leaving(&mut self, now: Time, upstreams: &[UpstreamId]) {
        let until = now + self.peering.share_validity();
        for upstream in upstreams {
            if let Some(state) = self.pool.get_mut(upstream) {
                state.departure.note_advertised(until);
            }
        }
    }

    /// Reads the configuration from the platform immediately if a peer has a newer version. The
    /// peer's message only triggers the read; it does not change the configuration by itself.
    fn read_if_newer(&self, seen: Option<ConfigVersion>, actions: &mut Vec<Action>) {
        if seen > self.version() {
            actions.push(Action::ReadConfiguration);
        }
    }

    fn allocate_for(&mut self, now: Time, heartbeat: &Heartbeat) -> Vec<Grant> {
        let validity = self.peering.share_validity();
        let coordinator = &mut self.peering.coordinator;
        coordinator.note_demand(&heartbeat.host, &heartbeat.demand, now);
        coordinator.expire(now, validity);
        let mut hosts: BTreeSet<HostId> = self.peering.members.sharing_hosts().cloned().collect();
        if self.phase() != HostPhase::Draining {
            hosts.insert(self.options.host.clone());
        }
        hosts.insert(heartbeat.host.clone());
        let groups = self.pool.groups_to_divide();
        let max_age = self.peering.heartbeat_interval() / 2;
        let coordinator = &mut self.peering.coordinator;
        coordinator.grants(&heartbeat.host, hosts, &groups, now, max_age)
    }

    /// Applies the granted shares, or equal shares while no grants are valid.
    pub(crate) fn apply_shares(&mut self, now: Time) {
        let domain_size = self.peering.members.domain_size();
        let total_size = self.peering.members.total_size();
        let share_index = self.peering.members.share_index();
        let shares = &self.peering.shares;
        let valid = shares.are_valid(now);
        let own = |group: &str, slots: u32| {
            let granted = shares.get(group).filter(|_| valid);
            granted.unwrap_or_else(|| Share::equal(slots, domain_size, share_index))
        };
        self.pool
            .set_shares(own, |slots| equal_share(slots, total_size));
    }
}

/// The share of one host if all get the same. It has at least one slot, so that every host can use
/// the upstream.
fn equal_share(slots: u32, hosts: u32) -> u32 {
    (slots / hosts.max(1)).max(1)
}
