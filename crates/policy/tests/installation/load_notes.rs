//! What a host knows by the store and by the other hosts, and how old that is.

use {
    crate::support::{self, Ask, Host, KEY_KNOWLEDGE, exchange_notes, lookup, refused, sent},
    peer::{Echo, LoadNote},
    policy::{Action, Event, RefusalReason},
    std::time::Duration,
    types::prelude::*,
};

/// Symptom: a request runs long after its key was removed. Events: the host is
/// cut off from the store, the key is removed, the caller sends on. Cause: the
/// host takes its configuration for the newest however old it is.
#[test]
fn refuses_keys_when_its_configuration_may_be_outdated() {
    let mut host = Host::new(0);
    host.pass(KEY_KNOWLEDGE.as_millis() as u64 - 100);
    assert!(sent(&host.ask(lookup()).1).is_some());
    assert!(host.controller.is_configuration_current(host.now));

    host.pass(200);
    let refusal = refused(&host.ask(lookup()).1).unwrap();
    assert_eq!(refusal.reason, RefusalReason::ConfigurationStale);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after.is_some());
    assert!(!host.controller.is_configuration_current(host.now));
}

/// Symptom: as above, after a machine was suspended. Events: the host is
/// suspended for ten seconds and reads what waits in its sockets. Cause: a
/// clock that stands still meanwhile makes its knowledge look fresh.
#[test]
fn refuses_keys_right_after_a_freeze() {
    let mut host = Host::new(0);
    host.now = host.now.plus_ms(10_000);
    let refusal = refused(&host.ask(lookup()).1).unwrap();
    assert_eq!(refusal.reason, RefusalReason::ConfigurationStale);
}

fn note(host: &Host, echo: Option<Echo>, version: u64) -> Event {
    Event::LoadNoteReceived {
        from: support::address(200),
        note: LoadNote {
            confirmed_age_ms: Some(50),
            echo,
            host: "host-9".parse().unwrap(),
            incarnation: Incarnation::new(9),
            leaving: Vec::new(),
            loads: Vec::new(),
            protocol: peer::PROTOCOL,
            reach: Default::default(),
            reads: Vec::new(),
            sent_us: host.now.as_us(),
            speeds: Vec::new(),
            version: Some(ConfigVersion::new(version)),
        },
    }
}

/// A host that the store turns away goes on by the word of one that it serves.
#[test]
fn learns_from_another_host_that_its_configuration_is_the_newest() {
    let mut host = Host::new(0);
    host.pass(KEY_KNOWLEDGE.as_millis() as u64 + 100);
    assert!(!host.controller.is_configuration_current(host.now));
    let echo = Some(Echo {
        incarnation: Incarnation::new(0),
        sent_us: host.now.as_us() - 10_000,
    });
    let event = note(&host, echo, 1);
    host.handle(event);
    assert!(host.controller.is_configuration_current(host.now));
    assert!(sent(&host.ask(lookup()).1).is_some());
}

/// Symptom: a host takes a removed key after a freeze or a cut, although it
/// counts suspended time. Events: a note waits in its socket while it is frozen,
/// or answers an earlier start of it, or speaks of another version. Cause: the
/// age in the note is counted from its arrival.
#[test]
fn ignores_a_note_of_unknown_age() {
    let mut host = Host::new(0);
    let frozen_at = host.now.as_us();
    host.pass(KEY_KNOWLEDGE.as_millis() as u64 + 1_000);
    let echo = |incarnation, sent_us| {
        Some(Echo {
            incarnation: Incarnation::new(incarnation),
            sent_us,
        })
    };
    let now_us = host.now.as_us();
    let events = [
        note(&host, echo(0, frozen_at), 1),
        note(&host, echo(7, now_us), 1),
        note(&host, None, 1),
        note(&host, echo(0, now_us), 2),
    ];
    for event in events {
        host.handle(event);
        assert!(!host.controller.is_configuration_current(host.now));
    }
}

/// Symptom: a host refuses every key although its neighbors know the newest
/// configuration. Events: the store turns this host away, and the operator
/// changes the configuration. Cause: only the store is asked for it.
#[test]
fn fetches_a_newer_configuration_from_another_host() {
    let mut host = Host::new(0);
    let fetches = |actions: &[Action]| {
        let fetch = |action: &&Action| matches!(action, Action::FetchConfiguration { .. });
        actions.iter().filter(fetch).count()
    };
    let event = note(&host, None, 1);
    host.handle(event);
    host.pass(2_500);
    assert_eq!(fetches(&host.actions), 0, "the host has this version");

    let mut host = Host::new(0);
    let event = note(&host, None, 2);
    host.handle(event);
    host.pass(2_100);
    assert_eq!(fetches(&host.actions), 0, "the store may still bring it");
    host.pass(400);
    let event = note(&host, None, 2);
    host.handle(event);
    assert_eq!(fetches(&host.actions), 1, "one at a time");

    host.pass(2_600);
    assert!(!host.controller.is_configuration_current(host.now));
    host.read_version(2);
    let echo = Some(Echo {
        incarnation: Incarnation::new(0),
        sent_us: host.now.as_us(),
    });
    let event = note(&host, echo, 2);
    host.handle(event);
    assert!(host.controller.is_configuration_current(host.now));
}

/// An upstream that another host knows to be leaving gets nothing new.
#[test]
fn learns_from_another_host_that_an_upstream_is_leaving() {
    let mut host = Host::new(0);
    let Event::LoadNoteReceived { from, note } = note(&host, None, 1) else {
        unreachable!("a note is a note");
    };
    let leaving = vec!["shop-0".parse().unwrap(), "shop-2".parse().unwrap()];
    let note = LoadNote { leaving, ..note };
    host.handle(Event::LoadNoteReceived { from, note });
    for _ in 0..6 {
        let order = sent(&host.ask(lookup()).1).unwrap();
        assert_eq!(order.upstream.name(), "shop-1");
    }
}

/// Symptom: a host believes an engine to be loaded by a host that ended. Events:
/// a host tells its load and is killed. Cause: its last note counts for ever.
#[test]
fn drops_the_load_of_a_host_that_stopped_sending_notes() {
    let mut host = Host::new(0);
    let loaded = LoadNote {
        confirmed_age_ms: None,
        echo: None,
        host: "host-9".parse().unwrap(),
        incarnation: Incarnation::new(9),
        leaving: Vec::new(),
        loads: vec![peer::UpstreamLoad {
            backlog: Tokens::new(5_000_000),
            in_flight: 60,
            pause_bound: 0,
            upstream: "engine-0".parse().unwrap(),
        }],
        protocol: peer::PROTOCOL,
        reach: Default::default(),
        reads: Vec::new(),
        sent_us: 1,
        speeds: Vec::new(),
        version: None,
    };
    let parts = [(77, 50), (78, 50)];
    let home = |host: &mut Host| {
        let (id, actions) = host.ask(Ask::prompt("question", "shop-key", &parts));
        let order = sent(&actions).unwrap();
        host.handle(Event::CallerGone { request: id });
        order.upstream
    };
    let before = home(&mut host);
    let loads = peer::UpstreamLoad {
        upstream: before.clone(),
        ..loaded.loads[0].clone()
    };
    let note = LoadNote {
        loads: vec![loads],
        ..loaded
    };
    let from = support::address(200);
    host.handle(Event::LoadNoteReceived { from, note });
    assert_ne!(home(&mut host), before);
    host.pass(Duration::from_secs(4).as_millis() as u64);
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
    assert_eq!(home(&mut host), before);
}

/// Bytes that a host sends to the others in ten seconds, while its load changes
/// all the time.
fn note_bytes_in_10_s(hosts: usize) -> usize {
    let mut host = Host::new(0);
    host.list_hosts(hosts);
    let mut bytes = 0;
    for number in 0..1_000 {
        let as_of = host.now;
        host.handle(Event::ConfigurationConfirmed { as_of });
        host.ask(Ask::prompt(
            "question",
            "shop-key",
            &[(number, 50), (2, 50)],
        ));
        host.pass(10);
        let actions = std::mem::take(&mut host.actions);
        for action in actions {
            if let Action::SendLoadNotes { notes } = action {
                let sizes = notes
                    .iter()
                    .map(|(_, note)| note.to_datagram("secret").len());
                bytes += sizes.sum::<usize>();
            }
        }
    }
    bytes
}

/// Symptom: hosts of a large installation spend their links and processors on
/// telling each other their load. Events: many hosts, each with a load that
/// changes all the time. Cause: the work grows with the square of the hosts.
#[test]
fn notes_stay_within_the_control_traffic_budget() {
    assert!(note_bytes_in_10_s(7) <= 10 * 25_000);
    assert!(note_bytes_in_10_s(380) <= 10 * 3_000 + 380 * 200);
}

/// Symptom: a host that the store turns away refuses keys now and then, although
/// another host knows that its configuration is the newest. Events: neither has
/// anything to do, the other one asks the store every 1.8 s. Cause: their notes come
/// once a second, and each counts from the note that it answers.
#[test]
fn an_idle_host_without_the_store_relies_on_one_neighbor() {
    const CONFIRMATION_INTERVAL_MS: u64 = 1_800;
    let mut hosts = [Host::new(0), Host::new(1)];
    let start = hosts[0].now;
    for ms in (0..20_000).step_by(10) {
        let now = start.plus_ms(ms);
        if ms % CONFIRMATION_INTERVAL_MS == 0 {
            let as_of = start.plus_ms(ms.saturating_sub(CONFIRMATION_INTERVAL_MS));
            hosts[0].now = now;
            hosts[0].handle(Event::ConfigurationConfirmed { as_of });
        }
        for host in &mut hosts {
            host.now = now;
            host.handle(Event::Ticked);
        }
        exchange_notes(&mut hosts);
        assert!(
            hosts[1].controller.is_configuration_current(now),
            "after {ms} ms"
        );
    }
}
