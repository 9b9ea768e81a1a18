use super::*;

/// Maximum number of hosts in a group. The hosts of a group exchange load notes, and one of them
/// queries the installation's store for the others. That host has only a short time to answer all
/// others, and sending a note to the whole group takes some 1.5 s within the bandwidth budget.
const MAX_GROUP_HOSTS: usize = 40;

/// Rendezvous hashing key that assigns the hosts of a domain to groups.
const GROUP_KEY: &str = "group";

/// Returns the other hosts of the host's own group. A domain with more hosts than a group may have
/// is divided into groups of similar size, and every host of the domain computes the same groups.
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

/// The group of a host, if its domain is divided into `groups` groups.
fn group_of(host: &HostId, groups: usize) -> u64 {
    rendezvous_weight(GROUP_KEY, host) % groups as u64
}
