use super::*;

/// Hosts of a failure domain that act as one group: they exchange notes, and one of them asks the
/// installation's store for the others. That one has a moment for the answers to all of them, and
/// a note to all takes some 1.5 s within the budget.
const MAX_GROUP_HOSTS: usize = 40;

/// Key by which the hosts of a domain are divided.
const GROUP_KEY: &str = "group";

/// The hosts of a host's own group, itself left out. A domain of more hosts than a group has
/// at most is divided, alike on all of its hosts; groups are about as large.
pub fn own_group<'a>(
    own: &HostId,
    domain: &FailureDomainId,
    hosts: impl Iterator<Item = &'a PeerHost>,
) -> Vec<&'a PeerHost> {
    let others = hosts.filter(|host| host.failure_domain == *domain && host.host != *own);
    let mut others: Vec<&PeerHost> = others.collect();
    let groups = (others.len() + 1).div_ceil(MAX_GROUP_HOSTS);
    if groups > 1 {
        let group = group_of(own, groups);
        others.retain(|host| group_of(&host.host, groups) == group);
    }
    others
}

/// Group of a host among so many of its domain.
fn group_of(host: &HostId, groups: usize) -> u64 {
    rendezvous_weight(GROUP_KEY, host) % groups as u64
}
