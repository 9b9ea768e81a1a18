use super::*;

/// How long a host is assumed to be down after a call without an answer. The time doubles with each
/// further call that gets no answer.
const FIRST_SUSPICION: Duration = Duration::from_secs(1);

/// Upper bound of the time for which a host is assumed to be down.
const MAX_SUSPICION: Duration = Duration::from_secs(16);

/// The other hosts, as known from the platform's host list, which lags behind, and from messages
/// received directly. A wrong view makes the slot shares fit badly, but violates no guarantee.
#[derive(Debug)]
pub(crate) struct Membership {
    failure_domain: FailureDomainId,
    host: HostId,
    /// Number of hosts in other failure domains.
    other_domain_hosts: u32,
    /// The other hosts of this failure domain.
    members: BTreeMap<HostId, Member>,
}

impl Membership {
    pub(crate) const fn new(host: HostId, failure_domain: FailureDomainId) -> Self {
        Self {
            failure_domain,
            other_domain_hosts: 0,
            host,
            members: BTreeMap::new(),
        }
    }

    /// Applies a new version of the host list. What this host has learned about a member is kept
    /// while the address of the member stays the same.
    pub(crate) fn note_listed(&mut self, hosts: Vec<PeerHost>) {
        let mut old = std::mem::take(&mut self.members);
        self.other_domain_hosts = 0;
        for listing in hosts {
            if listing.host == self.host {
                continue;
            }
            if listing.failure_domain != self.failure_domain {
                self.other_domain_hosts += 1;
                continue;
            }
            let known = old.remove(&listing.host);
            let member = match known {
                Some(member) if member.listing.address == listing.address => {
                    Member { listing, ..member }
                }
                _ => Member::new(listing),
            };
            self.members.insert(member.listing.host.clone(), member);
        }
    }

    /// Records a message from a host, and clears its failures: a new process may have taken over
    /// the address of the one that failed.
    pub(crate) fn note_alive(&mut self, host: &HostId, phase: PeerPhase) {
        if let Some(member) = self.members.get_mut(host) {
            member.failures = 0;
            member.phase = phase;
            member.suspect_until = None;
        }
    }

    /// Records that a call to a host got no answer.
    pub(crate) fn note_unanswered(&mut self, host: &HostId, now: Time) {
        if let Some(member) = self.members.get_mut(host) {
            let factor = 1 << member.failures.min(8);
            member.failures += 1;
            let suspicion = (FIRST_SUSPICION * factor).min(MAX_SUSPICION);
            member.suspect_until = Some(now + suspicion);
        }
    }

    /// The coordinator of this domain, which is asked for shares. `None` if this host is the
    /// coordinator.
    pub(crate) fn coordinator(&self, now: Time) -> Option<&Member> {
        let key = self.failure_domain.as_str();
        let best = self
            .members
            .values()
            .filter(|member| member.can_coordinate(now))
            .max_by_key(|member| rendezvous_weight(key, &member.listing.host))?;
        let own = rendezvous_weight(key, &self.host);
        (rendezvous_weight(key, &best.listing.host) > own).then_some(best)
    }

    /// The other hosts that share this domain's upstreams.
    pub(crate) fn sharing_hosts(&self) -> impl Iterator<Item = &HostId> {
        let sharing = self.members.values().filter(|member| member.is_sharing());
        sharing.map(|member| &member.listing.host)
    }

    /// Number of hosts that share this domain's upstreams, including this host.
    pub(crate) fn domain_size(&self) -> u32 {
        self.sharing_hosts().count() as u32 + 1
    }

    /// Position of this host among the hosts that share this domain's upstreams, ordered by id.
    pub(crate) fn share_index(&self) -> u32 {
        self.sharing_hosts()
            .filter(|host| **host < self.host)
            .count() as u32
    }

    /// Number of hosts in all failure domains, including this host.
    pub(crate) fn total_size(&self) -> u32 {
        self.members.len() as u32 + self.other_domain_hosts + 1
    }
}
