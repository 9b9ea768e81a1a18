use super::*;

/// First time for which a host that gave no answer is taken for gone; doubled
/// with each further call that gets none.
const FIRST_SUSPICION: Duration = Duration::from_secs(1);

/// Longest such time.
const MAX_SUSPICION: Duration = Duration::from_secs(16);

/// The other hosts, from the platform's lagging list and from direct signs. A
/// wrong view costs shares that do not fit, and never a promise.
#[derive(Debug)]
pub(crate) struct Membership {
    failure_domain: FailureDomainId,
    host: HostId,
    /// Hosts of other failure domains.
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

    /// Follows a new reading of the list; what was learned of a host is kept.
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

    /// Notes a direct sign of life, and forgets what was held against the host:
    /// it may be another one on the old one's address.
    pub(crate) fn note_alive(&mut self, host: &HostId, phase: PeerPhase) {
        if let Some(member) = self.members.get_mut(host) {
            member.failures = 0;
            member.phase = phase;
            member.suspect_until = None;
        }
    }

    /// Notes that a call to a host got no answer.
    pub(crate) fn note_unanswered(&mut self, host: &HostId, now: Time) {
        if let Some(member) = self.members.get_mut(host) {
            let factor = 1 << member.failures.min(8);
            member.failures += 1;
            let suspicion = (FIRST_SUSPICION * factor).min(MAX_SUSPICION);
            member.suspect_until = Some(now + suspicion);
        }
    }

    /// The host of this domain to ask for shares: `None` is this host itself.
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

    /// Other hosts that share this domain's upstreams.
    pub(crate) fn sharing_hosts(&self) -> impl Iterator<Item = &HostId> {
        let sharing = self.members.values().filter(|member| member.is_sharing());
        sharing.map(|member| &member.listing.host)
    }

    /// Hosts that share this domain's upstreams, this one included.
    pub(crate) fn domain_size(&self) -> u32 {
        self.sharing_hosts().count() as u32 + 1
    }

    /// How many of them come before this one in the order of ids.
    pub(crate) fn share_index(&self) -> u32 {
        self.sharing_hosts()
            .filter(|host| **host < self.host)
            .count() as u32
    }

    /// All hosts of the list, this one included.
    pub(crate) fn total_size(&self) -> u32 {
        self.members.len() as u32 + self.other_domain_hosts + 1
    }
}
