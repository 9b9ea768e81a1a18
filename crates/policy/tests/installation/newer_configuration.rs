//! How a host gets a version of the configuration that it has learned of, and what it does
//! while it has not.

use {
    crate::support::{APPLY_LIMIT, Host, TestRequest, address, lookup, refused, sent},
    peer::VersionNote,
    policy::{Action, Event, FetchEnd, RefusalReason},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
    types::prelude::*,
};

/// Hosts that one host hands the configuration to at one time.
const MAX_LENT: usize = 4;

/// Time for handing 0.13 MB over a link of 10 Mbit/s, and for unpacking it on 0.12 of a core.
const HANDING_MS: u64 = 250;

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

fn fetched(actions: &[Action]) -> Option<SocketAddr> {
    actions.iter().find_map(|action| match action {
        Action::FetchConfiguration { address, .. } => Some(*address),
        _ => None,
    })
}

fn ended(address: SocketAddr, end: FetchEnd) -> Event {
    Event::ConfigurationFetchEnded { address, end }
}

fn confirm(host: &mut Host) {
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
}

/// Symptom: each host reads a large document over its own thin link. Events: the store
/// begins to send one, and another host has it already. Cause: other hosts are asked only
/// once the store has sent nothing for 2.2 s.
#[test]
fn asks_another_host_once_the_store_begins_a_large_one() {
    let mut host = Host::new(0);
    assert_eq!(
        fetched(&host.handle(advertised(3, 2))),
        None,
        "the store brings it"
    );
    let actions = host.handle(Event::ConfigurationAnnounced);
    assert_eq!(fetched(&actions), Some(address(3)));

    let mut host = Host::new(0);
    assert_eq!(fetched(&host.handle(Event::ConfigurationAnnounced)), None);
    assert_eq!(
        fetched(&host.handle(advertised(3, 1))),
        None,
        "it has this one"
    );
    assert_eq!(fetched(&host.handle(advertised(3, 2))), Some(address(3)));
}

/// Symptom: a change is in force two seconds later on most hosts of a large domain, or each
/// of them reads it from the store. Events: the host that this one asks in place of the
/// store tells of a newer version. Cause: the store is expected to bring it, which this
/// host does not ask.
#[test]
fn fetches_at_once_what_the_host_has_that_it_asks_in_place_of_the_store() {
    let elsewhere = |version| Event::NewerConfigurationAtPeer {
        from: address(3),
        version: ConfigVersion::new(version),
    };
    let mut host = Host::new(0);
    assert_eq!(fetched(&host.handle(elsewhere(2))), Some(address(3)));

    let mut host = Host::new(0);
    assert_eq!(fetched(&host.handle(elsewhere(1))), None, "it has this one");
    assert_eq!(
        fetched(&host.handle(advertised(4, 2))),
        None,
        "an older word says nothing of what comes next"
    );
}

/// Symptom: fetches fail on most hosts, while one host sends all that its link takes.
/// Events: a host that all have learned of is asked by all of them. Cause: the host that was
/// learned of first is asked, again and again.
#[test]
fn asks_hosts_in_an_order_of_its_own_and_a_busy_one_later() {
    let first = |seed| {
        let mut host = Host::new(seed);
        for from in [2, 3, 4, 5] {
            host.handle(advertised(from, 2));
        }
        fetched(&host.handle(Event::ConfigurationAnnounced)).unwrap()
    };
    let asked: BTreeSet<SocketAddr> = (0..40).map(first).collect();
    assert_eq!(asked.len(), 4, "all are asked");

    let mut host = Host::new(0);
    host.handle(advertised(2, 2));
    host.handle(advertised(3, 2));
    let one = fetched(&host.handle(Event::ConfigurationAnnounced)).unwrap();
    let other = fetched(&host.handle(ended(one, FetchEnd::Busy))).unwrap();
    assert_ne!(one, other);
    assert_eq!(fetched(&host.handle(ended(other, FetchEnd::Busy))), None);
    host.actions.clear();
    host.advance(150);
    assert!(fetched(&host.actions).is_some(), "a busy one is soon free");
}

/// Symptom: the same document is handed over twice. Events: it has arrived, and is being
/// unpacked and read. Cause: the end of a fetch is taken for the end of the need.
#[test]
fn asks_no_other_host_while_one_is_being_taken() {
    let mut host = Host::new(0);
    host.handle(advertised(2, 2));
    host.handle(advertised(3, 2));
    let one = fetched(&host.handle(Event::ConfigurationAnnounced)).unwrap();
    host.actions.clear();
    host.handle(ended(one, FetchEnd::Received));
    host.advance(500);
    assert_eq!(fetched(&host.actions), None);
    host.read_version(2);
    host.advance(1_000);
    assert_eq!(fetched(&host.actions), None);
}

/// Symptom: a large answer of the store makes a host ask others although nothing is new.
/// Events: the store has lost its history, and the table is read whole. Cause: what is
/// large is taken for new.
#[test]
fn forgets_an_announcement_once_the_store_has_nothing_newer() {
    let mut host = Host::new(0);
    host.handle(Event::ConfigurationAnnounced);
    confirm(&mut host);
    assert_eq!(fetched(&host.handle(advertised(3, 2))), None);
}

/// Symptom: callers without a key are served by a version that was replaced seconds ago.
/// Events: a host learns of a newer version and does not get it. Cause: only keys are
/// refused when the configuration may be outdated.
#[test]
fn answers_nobody_by_a_version_that_it_knows_to_be_outdated_for_long() {
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
        "others take its callers"
    );

    host.read_version(2);
    assert!(sent(&host.ask(TestRequest::public_call("lookup")).1).is_some());
}

/// Symptom: a caller whose key was just added learns that it has none, and does not come
/// back. Events: one host has the new version, another has only learned of it. Cause: the
/// version before decides what is denied.
#[test]
fn denies_no_key_that_a_newer_version_may_have_added() {
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
fn tells_a_few_other_hosts_of_a_version_that_it_can_hand_over() {
    let mut host = Host::new(0);
    host.list_hosts(380);
    let actions = host.handle(Event::ConfigurationPacked(ConfigVersion::new(1)));
    let Some(Action::SendVersionNote { note, to }) = actions.first() else {
        panic!("nobody is notified: {actions:?}");
    };
    assert_eq!(note.version, ConfigVersion::new(1));
    assert_eq!(to.iter().collect::<BTreeSet<_>>().len(), 8);
    assert!(!to.contains(&address(0)));
}

/// Hosts that hand a configuration to each other; the store gives it to a few only.
struct Fleet {
    /// Hosts that are being handed it: by whom, and until when.
    handing: BTreeMap<usize, (usize, Time)>,
    /// How many each one has handed it to at one time, at the most.
    most_lent: usize,
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
            handing: BTreeMap::new(),
            most_lent: 0,
            hosts,
        }
    }

    fn take(&mut self, host: usize) {
        self.hosts[host].read_version(2);
        self.hosts[host].handle(Event::ConfigurationPacked(ConfigVersion::new(2)));
    }

    fn has_it(&self, host: usize) -> bool {
        self.hosts[host].controller.version() == Some(ConfigVersion::new(2))
    }

    fn number(&self, wanted: SocketAddr) -> usize {
        let mut numbers = 0..self.hosts.len();
        numbers.find(|number| address(*number) == wanted).unwrap()
    }

    fn step(&mut self) {
        for number in 0..self.hosts.len() {
            self.hosts[number].advance(10);
            self.end_handing(number);
            for action in std::mem::take(&mut self.hosts[number].actions) {
                match action {
                    Action::FetchConfiguration { address: asked, .. } => self.ask(number, asked),
                    Action::SendVersionNote { note, to } => {
                        for to in to {
                            let from = address(number);
                            let note = note.clone();
                            let to = self.number(to);
                            self.hosts[to].handle(Event::VersionAdvertised { from, note });
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    fn ask(&mut self, asking: usize, from: SocketAddr) {
        let asked = self.number(from);
        let lent = self.handing.values().filter(|(by, _)| *by == asked).count();
        if lent >= MAX_LENT {
            self.hosts[asking].handle(ended(from, FetchEnd::Busy));
            return;
        }
        self.most_lent = self.most_lent.max(lent + 1);
        let until = self.hosts[asking].now.plus_ms(HANDING_MS);
        self.handing.insert(asking, (asked, until));
    }

    fn end_handing(&mut self, asking: usize) {
        let now = self.hosts[asking].now;
        if let Some((asked, until)) = self.handing.get(&asking).copied()
            && until <= now
        {
            self.handing.remove(&asking);
            let from = address(asked);
            self.hosts[asking].handle(ended(from, FetchEnd::Received));
            self.take(asking);
        }
    }
}

/// At the size that is designed for, a version that three hosts have read from the store is
/// everywhere within a part of the 7 s that a change may take, and no host hands it to more
/// than a few others at one time.
#[test]
fn a_version_reaches_380_hosts_from_three_of_them() {
    let mut fleet = Fleet::new(380);
    for host in [17, 120, 333] {
        fleet.take(host);
    }
    let mut passed_ms = 0;
    while !(0..380).all(|host| fleet.has_it(host)) {
        fleet.step();
        passed_ms += 10;
        assert!(passed_ms <= 2_500, "not everywhere after {passed_ms} ms");
    }
    assert!(fleet.most_lent <= MAX_LENT);
}
