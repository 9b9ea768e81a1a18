//! What a host learns from the store and from the load notes of other hosts, and how old that
//! information may be.

use {
    crate::support::{
        self, Host, KEY_KNOWLEDGE_LIMIT, TestRequest, exchange_notes, lookup, refused, sent,
    },
    peer::{Echo, LoadNote},
    policy::{Action, Event, RefusalReason},
    std::time::Duration,
    types::prelude::*,
};

/// Guards against requests that run long after their key was removed: the host is cut off from the
/// store when the key is removed, and treats its configuration as current regardless of its age.
#[test]
fn refuses_keys_when_its_configuration_may_be_outdated() {
    let mut host = Host::new(0);
    host.advance(KEY_KNOWLEDGE_LIMIT.as_millis() as u64 - 100);
    assert!(sent(&host.ask(lookup()).1).is_some());
    assert!(host.controller.is_configuration_current(host.now));

    host.advance(200);
    let refusal = refused(&host.ask(lookup()).1).unwrap();
    assert_eq!(refusal.reason, RefusalReason::ConfigurationStale);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after.is_some());
    assert!(!host.controller.is_configuration_current(host.now));
}

/// Guards against the same after a suspension: the host is suspended for ten seconds and then reads
/// what waits in its sockets. A clock that stops meanwhile makes the configuration look current.
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

/// A host that cannot use the store relies on the load note of a host that can.
#[test]
fn learns_from_another_host_that_its_configuration_is_the_newest() {
    let mut host = Host::new(0);
    host.advance(KEY_KNOWLEDGE_LIMIT.as_millis() as u64 + 100);
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

/// Guards against accepting a removed key after a freeze or a partition: a load note waits in the
/// socket while the host is frozen, answers an earlier incarnation of the host, or names another
/// version, and its age is counted from its arrival.
#[test]
fn ignores_a_note_of_unknown_age() {
    let mut host = Host::new(0);
    let frozen_at = host.now.as_us();
    host.advance(KEY_KNOWLEDGE_LIMIT.as_millis() as u64 + 1_000);
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

/// Guards against a host that refuses every key although its neighbors have the newest
/// configuration: the store rejects the host, the configuration changes, and the host asks only the
/// store for it.
#[test]
fn fetches_a_newer_configuration_from_another_host() {
    let mut host = Host::new(0);
    let fetches = |actions: &[Action]| {
        let fetch = |action: &&Action| matches!(action, Action::FetchConfiguration { .. });
        actions.iter().filter(fetch).count()
    };
    let event = note(&host, None, 1);
    host.handle(event);
    host.advance(2_500);
    assert_eq!(fetches(&host.actions), 0, "the host has this version");

    let mut host = Host::new(0);
    let event = note(&host, None, 2);
    host.handle(event);
    host.advance(2_100);
    assert_eq!(fetches(&host.actions), 0, "the store may still bring it");
    host.advance(400);
    let event = note(&host, None, 2);
    host.handle(event);
    assert_eq!(fetches(&host.actions), 1, "one at a time");

    host.advance(2_600);
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

/// An upstream that another host reports as leaving gets no new requests.
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

/// Guards against an engine that appears loaded by a host that was killed: the last load note of
/// that host never expires.
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
    let chosen_upstream = |host: &mut Host| {
        let (id, actions) = host.ask(TestRequest::prompt("question", "shop-key", &parts));
        let order = sent(&actions).unwrap();
        host.handle(Event::CallerGone { request: id });
        order.upstream
    };
    let before = chosen_upstream(&mut host);
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
    assert_ne!(chosen_upstream(&mut host), before);
    host.advance(Duration::from_secs(4).as_millis() as u64);
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
    assert_eq!(chosen_upstream(&mut host), before);
}

/// Counts the bytes that a host sends to the others in ten seconds while its load changes all the
/// time.
fn note_bytes_in_10_s(hosts: usize) -> usize {
    let mut host = Host::new(0);
    host.list_hosts(hosts);
    let mut bytes = 0;
    for number in 0..1_000 {
        let as_of = host.now;
        host.handle(Event::ConfigurationConfirmed { as_of });
        host.ask(TestRequest::prompt(
            "question",
            "shop-key",
            &[(number, 50), (2, 50)],
        ));
        host.advance(10);
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

/// Guards against load notes that saturate the links and processors of a large installation: there
/// are many hosts with constantly changing load, and the traffic grows with the square of the
/// number of hosts.
#[test]
fn notes_stay_within_the_control_traffic_budget() {
    assert!(note_bytes_in_10_s(7) <= 10 * 25_000);
    assert!(note_bytes_in_10_s(380) <= 10 * 3_000 + 380 * 200);
}

/// Guards against an idle host that the store rejects and that refuses keys now and then, although
/// another host confirms its configuration every 1.8 s: idle hosts exchange load notes once per
/// second, and the confirmed age in a note counts from the note that it answers.
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
