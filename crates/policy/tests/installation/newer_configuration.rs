//! How a host fetches a configuration version that it has been notified of, and how it answers
//! requests until it has that version.

use {
    crate::support::{APPLY_LIMIT, Host, TestRequest, address, lookup, refused, sent},
    peer::VersionNote,
    policy::{Action, Event, FetchEnd, RefusalReason},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    types::prelude::*,
};

/// Hosts that one host hands the configuration to at the same time.
const MAX_TRANSFERS_PER_HOST: usize = 4;

/// Time to transfer 0.13 MB over a link of 10 Mbit/s and to unpack it on 0.12 of a core.
const TRANSFER_MS: u64 = 250;

fn advertised(from: usize, version: u64) -> Event {
    Event::VersionAdvertised {
        from: address(from),
        note: VersionNote {
            host: format!("host-{from}").parse().unwrap(),
            protocol: peer::PROTOCOL,
            version: ConfigVersion::new(version),
        },
    }
}

fn fetch_address(actions: &[Action]) -> Option<SocketAddr> {
    actions.iter().find_map(|action| match action {
        Action::FetchConfiguration { address, .. } => Some(*address),
        _ => None,
    })
}

fn fetch_ended(address: SocketAddr, end: FetchEnd) -> Event {
    Event::ConfigurationFetchEnded { address, end }
}

fn confirm(host: &mut Host) {
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
}

/// Guards against a store that was restored from an older copy and confirms its configuration, while
/// other hosts have a newer one: removed keys stay valid, and the newer one is never fetched.
#[test]
fn the_store_confirms_no_version_that_is_older_than_those_of_other_hosts() {
    let mut host = Host::new(0);
    host.handle(advertised(3, 2));
    host.now = host.now + APPLY_LIMIT / 2;
    let as_of = host.now;
    let actions = host.handle(Event::ConfigurationConfirmed { as_of });
    assert_eq!(fetch_address(&actions), Some(address(3)));
    let is_confirmed = |host: &Host| host.controller.config_age(host.now) == Some(Duration::ZERO);
    assert!(!is_confirmed(&host));

    let mut host = Host::new(0);
    let before = host.now;
    host.now = host.now + Duration::from_millis(10);
    host.handle(advertised(3, 2));
    let actions = host.handle(Event::ConfigurationConfirmed { as_of: before });
    assert_eq!(
        fetch_address(&actions),
        None,
        "the store was asked before version 2 was known, and is expected to send it"
    );
}

/// Guards against every host reading a large configuration over its own slow link to the store,
/// although another host has it already. This happens if a host asks other hosts only after the
/// store has sent nothing for 2.2 s.
#[test]
fn fetches_from_another_host_once_the_store_announces_a_large_version() {
    let mut host = Host::new(0);
    assert_eq!(
        fetch_address(&host.handle(advertised(3, 2))),
        None,
        "the store is expected to send version 2"
    );
    let actions = host.handle(Event::ConfigurationAnnounced);
    assert_eq!(fetch_address(&actions), Some(address(3)));

    let mut host = Host::new(0);
    assert_eq!(
        fetch_address(&host.handle(Event::ConfigurationAnnounced)),
        None
    );
    assert_eq!(
        fetch_address(&host.handle(advertised(3, 1))),
        None,
        "the host has version 1 already"
    );
    assert_eq!(
        fetch_address(&host.handle(advertised(3, 2))),
        Some(address(3))
    );
}

/// Guards against a delay of two seconds at most hosts of a large failure domain, or against each
/// of them reading a change from the store. This happens if a host that polls another host in
/// place of the store waits for the store after that other host reports a newer version.
#[test]
fn fetches_at_once_a_newer_version_of_the_host_that_stands_in_for_the_store() {
    let newer_at_peer = |version| Event::NewerConfigurationAtPeer {
        from: address(3),
        version: ConfigVersion::new(version),
    };
    let mut host = Host::new(0);
    assert_eq!(
        fetch_address(&host.handle(newer_at_peer(2))),
        Some(address(3))
    );

    let mut host = Host::new(0);
    assert_eq!(
        fetch_address(&host.handle(newer_at_peer(1))),
        None,
        "the host has version 1 already"
    );
    assert_eq!(
        fetch_address(&host.handle(advertised(4, 2))),
        None,
        "a report of version 1 does not announce version 2"
    );
}

/// Guards against all hosts asking the host that they heard of first, again and again. The link of
/// that host is then saturated, and the fetches of most hosts fail.
#[test]
fn asks_hosts_in_random_order_and_a_busy_one_again_later() {
    let first = |seed| {
        let mut host = Host::new(seed);
        for from in [2, 3, 4, 5] {
            host.handle(advertised(from, 2));
        }
        fetch_address(&host.handle(Event::ConfigurationAnnounced)).unwrap()
    };
    let asked: BTreeSet<SocketAddr> = (0..40).map(first).collect();
    assert_eq!(asked.len(), 4, "some hosts are never asked");

    let mut host = Host::new(0);
    host.handle(advertised(2, 2));
    host.handle(advertised(3, 2));
    let first = fetch_address(&host.handle(Event::ConfigurationAnnounced)).unwrap();
    let second = fetch_address(&host.handle(fetch_ended(first, FetchEnd::Busy))).unwrap();
    assert_ne!(first, second);
    assert_eq!(
        fetch_address(&host.handle(fetch_ended(second, FetchEnd::Busy))),
        None
    );
    host.actions.clear();
    host.advance(150);
    assert!(
        fetch_address(&host.actions).is_some(),
        "a busy host is not asked again"
    );
}

/// Guards against fetching the same version twice. This happens if the end of a fetch counts as
/// the installation of the version, which must still be unpacked and read.
#[test]
fn does_not_fetch_again_while_a_received_version_is_being_read() {
    let mut host = Host::new(0);
    host.handle(advertised(2, 2));
    host.handle(advertised(3, 2));
    let first = fetch_address(&host.handle(Event::ConfigurationAnnounced)).unwrap();
    host.actions.clear();
    host.handle(fetch_ended(first, FetchEnd::Received));
    host.advance(500);
    assert_eq!(fetch_address(&host.actions), None);
    host.read_version(2);
    host.advance(1_000);
    assert_eq!(fetch_address(&host.actions), None);
}

/// Guards against fetches from other hosts when nothing is new. After the store has lost its
/// history, its table is read whole, and this large answer must not count as a new version.
#[test]
fn forgets_an_announcement_once_the_store_has_nothing_newer() {
    let mut host = Host::new(0);
    host.handle(Event::ConfigurationAnnounced);
    confirm(&mut host);
    assert_eq!(fetch_address(&host.handle(advertised(3, 2))), None);
}

/// Guards against serving callers without a key by a version that was replaced seconds ago. This
/// happens if a host that cannot get the newer version refuses only callers with a key.
#[test]
fn refuses_requests_once_its_version_has_been_outdated_for_too_long() {
    let mut host = Host::new(0);
    host.handle(advertised(3, 2));
    host.advance(APPLY_LIMIT.as_millis() as u64 - 100);
    confirm(&mut host);
    assert!(sent(&host.ask(TestRequest::public_call("lookup")).1).is_some());
    assert!(host.controller.is_configuration_current(host.now));

    host.advance(100);
    confirm(&mut host);
    for ask in [TestRequest::public_call("lookup"), lookup()] {
        let refusal = refused(&host.ask(ask).1).unwrap();
        assert_eq!(refusal.reason, RefusalReason::ConfigurationStale);
        assert_eq!(refusal.verdict, Verdict::NotRun);
        assert!(refusal.retry_after.is_some());
    }
    assert!(
        !host.controller.is_configuration_current(host.now),
        "other hosts must take over its callers"
    );

    host.read_version(2);
    assert!(sent(&host.ask(TestRequest::public_call("lookup")).1).is_some());
}

/// Guards against rejecting a key that was just added, after which the caller does not retry. This
/// happens if a host that knows of a newer version, but does not have it, rejects keys by its
/// older version.
#[test]
fn does_not_reject_a_key_that_a_newer_version_may_have_added() {
    let mut host = Host::new(0);
    let ask = || TestRequest {
        key: "new-key",
        ..lookup()
    };
    let refusal = refused(&host.ask(ask()).1).unwrap();
    assert_eq!(refusal.reason, RefusalReason::UnknownKey);
    host.handle(advertised(3, 2));
    let refusal = refused(&host.ask(ask()).1).unwrap();
    assert_eq!(refusal.reason, RefusalReason::ConfigurationStale);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn advertises_a_version_that_it_can_hand_over_to_a_few_hosts() {
    let mut host = Host::new(0);
    host.list_hosts(380);
    let actions = host.handle(Event::ConfigurationPacked(ConfigVersion::new(1)));
    let Some(Action::SendVersionNote { note, to }) = actions.first() else {
        panic!("no host is notified: {actions:?}");
    };
    assert_eq!(note.version, ConfigVersion::new(1));
    assert_eq!(to.iter().collect::<BTreeSet<_>>().len(), 8);
    assert!(!to.contains(&address(0)));
}

/// Hosts that hand a configuration to each other. The store sends it to only a few of them.
struct Fleet {
    /// Transfers by receiving host: the sending host, and the time at which the transfer ends.
    transfers: BTreeMap<usize, (usize, Time)>,
    /// The largest number of concurrent transfers from one host.
    peak_transfers_per_host: usize,
    hosts: Vec<Host>,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut hosts: Vec<Host> = (0..count).map(|number| Host::new(number as u64)).collect();
        for host in &mut hosts {
            host.list_hosts(count);
            host.handle(Event::ConfigurationAnnounced);
            host.actions.clear();
        }
        Self {
            transfers: BTreeMap::new(),
            peak_transfers_per_host: 0,
            hosts,
        }
    }

    fn install_version(&mut self, host: usize) {
        self.hosts[host].read_version(2);
        self.hosts[host].handle(Event::ConfigurationPacked(ConfigVersion::new(2)));
    }

    fn has_new_version(&self, host: usize) -> bool {
        self.hosts[host].controller.version() == Some(ConfigVersion::new(2))
    }

    fn number_of(&self, wanted: SocketAddr) -> usize {
        let mut numbers = 0..self.hosts.len();
        numbers.find(|number| address(*number) == wanted).unwrap()
    }

    fn step(&mut self) {
        for number in 0..self.hosts.len() {
            self.hosts[number].advance(10);
            self.complete_transfer(number);
            for action in std::mem::take(&mut self.hosts[number].actions) {
                match action {
                    Action::FetchConfiguration {
                        address: source, ..
                    } => self.request_transfer(number, source),
                    Action::SendVersionNote { note, to } => {
                        for to in to {
                            let from = address(number);
                            let note = note.clone();
                            let to = self.number_of(to);
                            self.hosts[to].handle(Event::VersionAdvertised { from, note });
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    fn request_transfer(&mut self, requester: usize, from: SocketAddr) {
        let source = self.number_of(from);
        let active = self
            .transfers
            .values()
            .filter(|(by, _)| *by == source)
            .count();
        if active >= MAX_TRANSFERS_PER_HOST {
            self.hosts[requester].handle(fetch_ended(from, FetchEnd::Busy));
            return;
        }
        self.peak_transfers_per_host = self.peak_transfers_per_host.max(active + 1);
        let until = self.hosts[requester].now.plus_ms(TRANSFER_MS);
        self.transfers.insert(requester, (source, until));
    }

    fn complete_transfer(&mut self, requester: usize) {
        let now = self.hosts[requester].now;
        if let Some((source, until)) = self.transfers.get(&requester).copied()
            && until <= now
        {
            self.transfers.remove(&requester);
            let from = address(source);
            self.hosts[requester].handle(fetch_ended(from, FetchEnd::Received));
            self.install_version(requester);
        }
    }
}

/// Guards against slow or uneven distribution at the largest supported size. A version that three
/// hosts have read from the store must reach all hosts well within the 7 s that a change may take,
/// and no host may hand it to more than a few others at the same time.
#[test]
fn a_version_reaches_380_hosts_from_three_of_them() {
    let mut fleet = Fleet::new(380);
    for host in [17, 120, 333] {
        fleet.install_version(host);
    }
    let mut passed_ms = 0;
    while !(0..380).all(|host| fleet.has_new_version(host)) {
        fleet.step();
        passed_ms += 10;
        assert!(passed_ms <= 2_500, "not at all hosts after {passed_ms} ms");
    }
    assert!(fleet.peak_transfers_per_host <= MAX_TRANSFERS_PER_HOST);
}
