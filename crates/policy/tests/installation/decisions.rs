//! What a host of an installation decides when its knowledge is old, when
//! upstreams come and go, and when attempts fail.

use {
    crate::support::{self, Ask, Host, KEY_KNOWLEDGE, engines, refused, sent, upstreams},
    peer::{Echo, LoadNote},
    policy::{Action, Event, RefusalReason},
    std::time::Duration,
    types::prelude::*,
};

fn lookup() -> Ask {
    Ask::call("lookup")
}

fn order() -> Ask {
    Ask::call("order")
}

/// Symptom: a request runs long after its key was removed. Events: the host is
/// cut off from the store, the key is removed, the caller sends on. Cause: the
/// host takes its configuration for the newest however old it is.
#[test]
fn refuses_keys_when_its_configuration_may_be_outdated() {
    let mut host = Host::new(0);
    host.pass(KEY_KNOWLEDGE.as_millis() as u64 - 100);
    assert!(sent(&host.ask(lookup()).1).is_some());
    assert!(host.controller.is_current(host.now));

    host.pass(200);
    let refusal = refused(&host.ask(lookup()).1).unwrap();
    assert_eq!(refusal.reason, RefusalReason::ConfigurationStale);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after.is_some());
    assert!(!host.controller.is_current(host.now));
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
    Event::NoteHeard {
        from: support::address(200),
        note: LoadNote {
            confirmed_age_ms: Some(50),
            echo,
            host: "host-9".parse().unwrap(),
            incarnation: Incarnation::new(9),
            leaving: Vec::new(),
            loads: Vec::new(),
            protocol: peer::PROTOCOL,
            sent_us: host.now.as_us(),
            version: Some(ConfigVersion::new(version)),
        },
    }
}

/// A host that the store turns away goes on by the word of one that it serves.
#[test]
fn learns_from_another_host_that_its_configuration_is_the_newest() {
    let mut host = Host::new(0);
    host.pass(KEY_KNOWLEDGE.as_millis() as u64 + 100);
    assert!(!host.controller.is_current(host.now));
    let echo = Some(Echo {
        incarnation: Incarnation::new(0),
        sent_us: host.now.as_us() - 10_000,
    });
    let event = note(&host, echo, 1);
    host.handle(event);
    assert!(host.controller.is_current(host.now));
    assert!(sent(&host.ask(lookup()).1).is_some());
}

/// Symptom: a host takes a removed key after a freeze or a cut, although it
/// counts suspended time. Events: a note waits in its socket while it is frozen,
/// or answers an earlier start of it, or speaks of another version. Cause: the
/// age in the note is counted from its arrival.
#[test]
fn believes_no_note_whose_age_cannot_be_told() {
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
        assert!(!host.controller.is_current(host.now));
    }
}

/// Symptom: all requests are refused right after the store's return. Events: the
/// store is away, the upstreams' entries lapse, the first reading lists none.
/// Cause: a missing entry is taken for one that was removed.
#[test]
fn keeps_upstreams_that_may_only_have_lapsed() {
    let mut host = Host::new(0);
    host.handle(Event::DirectoryReached(false));
    host.pass(2_000);
    host.handle(Event::DirectoryReached(true));
    host.read_directory(engines(0), &[]);
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
    assert!(sent(&host.ask(lookup()).1).is_some());

    host.pass(1_900);
    host.read_directory(engines(0), &[]);
    assert!(sent(&host.ask(lookup()).1).is_some());

    host.pass(200);
    assert!(sent(&host.ask(lookup()).1).is_none());
}

/// Symptom: requests reach an upstream that left long ago. Events: its entry is
/// removed while the store is well. Cause: the memory of missing entries is used
/// although nothing can have lapsed.
#[test]
fn drops_a_missing_upstream_at_once_while_the_store_is_well() {
    let mut host = Host::new(0);
    host.pass(3_000);
    host.read_directory(engines(0), &[]);
    assert!(sent(&host.ask(lookup()).1).is_none());
}

/// Symptom: as above, after an outage. Events: an upstream says that it is
/// leaving, the store goes away, and its entry is gone at the return. Cause: one
/// that was leaving is taken for one that lapsed.
#[test]
fn does_not_keep_an_upstream_that_said_it_was_leaving() {
    let mut host = Host::new(0);
    let all = ["shop-0", "shop-1", "shop-2"];
    host.read_directory(upstreams(), &all);
    host.handle(Event::DirectoryReached(false));
    host.handle(Event::DirectoryReached(true));
    host.read_directory(engines(0), &[]);
    assert!(sent(&host.ask(lookup()).1).is_none());
}

#[test]
fn sends_nothing_new_to_an_upstream_that_is_leaving() {
    let mut host = Host::new(0);
    host.read_directory(upstreams(), &["shop-0", "shop-2"]);
    for _ in 0..6 {
        let order = sent(&host.ask(lookup()).1).unwrap();
        assert_eq!(order.upstream.as_str(), "shop-1");
    }
}

/// Symptom: an order runs twice. Events: the upstream's connection breaks after
/// the request was written. Cause: it is sent again although it may have run.
#[test]
fn never_repeats_a_request_that_may_have_run_and_must_not_run_twice() {
    let mut host = Host::new(0);
    let (id, actions) = host.ask(order());
    let first = sent(&actions).unwrap();
    let actions = host.fail(&first, id, FailureCause::Reset, Verdict::MayHaveRun, false);
    assert_eq!(sent(&actions), None);
    assert_eq!(refused(&actions).unwrap().verdict, Verdict::MayHaveRun);
}

/// One that provably did not run goes to another upstream, also if its class
/// allows one attempt only.
#[test]
fn sends_an_unsent_request_to_another_upstream() {
    let mut host = Host::new(0);
    let (id, actions) = host.ask(order());
    let first = sent(&actions).unwrap();
    let actions = host.fail(&first, id, FailureCause::Connect, Verdict::NotRun, false);
    let second = sent(&actions).unwrap();
    assert_ne!(second.upstream, first.upstream);
}

#[test]
fn repeats_an_idempotent_request_once_at_the_most() {
    let mut host = Host::new(0);
    let (id, actions) = host.ask(lookup());
    let first = sent(&actions).unwrap();
    let failed = FailureCause::ErrorStatus;
    let actions = host.fail(&first, id, failed, Verdict::MayHaveRun, false);
    let second = sent(&actions).unwrap();
    assert_ne!(second.upstream, first.upstream);
    let actions = host.fail(&second, id, failed, Verdict::MayHaveRun, false);
    assert_eq!(sent(&actions), None);
    assert!(refused(&actions).is_some());
}

/// Repeats that some hosts make which list so many hosts, while every attempt of
/// each of their requests fails.
fn repeats(hosts: u64, listed: usize, requests: usize) -> usize {
    let mut repeats = 0;
    for number in 0..hosts {
        let mut host = Host::new(number);
        host.list_hosts(listed);
        for _ in 0..requests {
            let as_of = host.now;
            host.handle(Event::ConfigurationConfirmed { as_of });
            let (id, actions) = host.ask(lookup());
            let Some(first) = sent(&actions) else {
                continue;
            };
            let failed = FailureCause::ErrorStatus;
            let actions = host.fail(&first, id, failed, Verdict::MayHaveRun, false);
            if let Some(second) = sent(&actions) {
                repeats += 1;
                host.fail(&second, id, failed, Verdict::MayHaveRun, false);
            }
            host.pass(100);
        }
    }
    repeats
}

/// Symptom: upstreams get far more arrivals than requests while they fail.
/// Events: every attempt fails for a while, on a small and on a large
/// installation, half of whose hosts start anew meanwhile. Cause: each host
/// repeats each request, or takes a part of the budget that rests on how many
/// hosts it hears.
#[test]
fn repeats_of_all_hosts_stay_within_the_budget() {
    for (hosts, listed, requests) in [(14, 7, 50), (120, 68, 10)] {
        let repeats = repeats(hosts, listed, requests);
        let asked = hosts as usize * requests;
        let budget = 0.2 * asked as f64 + f64::from(support::RETRY_EXTRA);
        assert!(
            repeats as f64 <= budget,
            "{repeats} repeats, {budget} allowed"
        );
        assert!(
            repeats as f64 > 0.1 * asked as f64,
            "only {repeats} repeats"
        );
    }
}

/// Symptom: a caller loses the rest of a stream although its class allows it to
/// go on elsewhere. Events: the engine breaks off after the first events.
#[test]
fn goes_on_with_a_broken_stream_at_another_engine() {
    let mut host = Host::new(0);
    let (id, actions) = host.ask(Ask::prompt("draft", "shop-key", &[(1, 500), (2, 100)]));
    let first = sent(&actions).unwrap();
    let actions = host.fail(&first, id, FailureCause::Reset, Verdict::MayHaveRun, true);
    let second = sent(&actions).unwrap();
    assert_ne!(second.upstream, first.upstream);
    assert_eq!(second.resume, Some(first.attempt));
    let actions = host.fail(&second, id, FailureCause::Reset, Verdict::MayHaveRun, true);
    assert_eq!(sent(&actions), None);
    assert!(refused(&actions).is_some());
}

/// One whose class does not allow it is cut, and not run again.
#[test]
fn does_not_go_on_with_a_stream_that_must_not_run_twice() {
    let mut host = Host::new(0);
    let (id, actions) = host.ask(Ask::prompt("question", "shop-key", &[(1, 500), (2, 100)]));
    let first = sent(&actions).unwrap();
    let actions = host.fail(&first, id, FailureCause::Reset, Verdict::MayHaveRun, true);
    assert_eq!(sent(&actions), None);
    assert!(refused(&actions).is_some());
}

/// Symptom: in an overload the most urgent class waits behind the least. Events:
/// all teams have one tier, and long summaries fill the engines. Cause: a team's
/// tier takes the place of the class's. Before, 0.12 of the payoff of urgent
/// short replies was earned at 1.5 times the capacity, after it 0.66.
#[test]
fn orders_the_classes_of_teams_with_one_tier() {
    let mut host = Host::new(0);
    let mut priority = |class, key| {
        let ask = Ask::prompt(class, key, &[(1, 500), (2, 100)]);
        sent(&host.ask(ask).1).unwrap().priority
    };
    let levels = [
        priority("question", "first-key"),
        priority("summary", "first-key"),
        priority("question", "shop-key"),
        priority("draft", "shop-key"),
        priority("summary", "shop-key"),
    ];
    let mut sorted = levels;
    sorted.sort_unstable();
    assert_eq!(levels, sorted, "a team's tier goes first, then the class's");
    assert!(levels[2] < levels[3] && levels[3] < levels[4], "{levels:?}");
}

/// Symptom: a host believes an engine to be loaded by a host that ended. Events:
/// a host tells its load and is killed. Cause: its last note counts for ever.
#[test]
fn forgets_the_load_of_a_host_that_fell_silent() {
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
            upstream: "engine-0".parse().unwrap(),
        }],
        protocol: peer::PROTOCOL,
        sent_us: 1,
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
    host.handle(Event::NoteHeard { from, note });
    assert_ne!(home(&mut host), before);
    host.pass(Duration::from_secs(4).as_millis() as u64);
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
    assert_eq!(home(&mut host), before);
}

/// Symptom: a host refuses every key although its neighbors know the newest
/// configuration. Events: the store turns this host away, and the operator
/// changes the configuration. Cause: only the store is asked for it.
#[test]
fn fetches_a_newer_configuration_from_another_host() {
    let mut host = Host::new(0);
    let fetch = |actions: &[Action]| {
        actions
            .iter()
            .any(|action| matches!(action, Action::FetchConfiguration { .. }))
    };
    let event = note(&host, None, 2);
    assert!(!fetch(&host.handle(event)), "the store may still bring it");
    host.pass(2_500);
    let event = note(&host, None, 1);
    assert!(!fetch(&host.handle(event)), "it has this one");
    let event = note(&host, None, 2);
    assert!(fetch(&host.handle(event)));
    let event = note(&host, None, 2);
    assert!(!fetch(&host.handle(event)), "one at a time");

    host.pass(2_600);
    assert!(!host.controller.is_current(host.now));
    host.read_version(2);
    let echo = Some(Echo {
        incarnation: Incarnation::new(0),
        sent_us: host.now.as_us(),
    });
    let event = note(&host, echo, 2);
    host.handle(event);
    assert!(host.controller.is_current(host.now));
}

/// An upstream that another host knows to be leaving gets nothing new.
#[test]
fn believes_another_host_that_an_upstream_is_leaving() {
    let mut host = Host::new(0);
    let Event::NoteHeard { from, note } = note(&host, None, 1) else {
        unreachable!("a note is a note");
    };
    let leaving = vec!["shop-0".parse().unwrap(), "shop-2".parse().unwrap()];
    let note = LoadNote { leaving, ..note };
    host.handle(Event::NoteHeard { from, note });
    for _ in 0..6 {
        let order = sent(&host.ask(lookup()).1).unwrap();
        assert_eq!(order.upstream.as_str(), "shop-1");
    }
}

/// Lets an engine give its first event, and ten more `each_ms` apart.
fn give_tokens(host: &mut Host, request: RequestId, order: &policy::SendOrder, each_ms: u64) {
    let progress = |host: &mut Host, tokens| {
        host.handle(Event::Progressed {
            attempt: order.attempt,
            request,
            tokens: Tokens::new(tokens),
        });
    };
    progress(host, 1);
    host.now = host.now.plus_ms(10 * each_ms);
    progress(host, 10);
    host.handle(Event::CallerGone { request });
}

/// Symptom: prompts are read again on quiet days. Events: one engine has nothing
/// to do and gives tokens many times as fast as the others, which read prompts.
/// Cause: every other engine is taken for a slow one. Before, 538 of the short
/// prompts' and 161 of the long ones' shared parts were read on a further engine
/// on a quiet day, after it 263 and 16.
#[test]
fn an_idle_engine_draws_no_prompt_from_its_home() {
    let mut host = Host::new(0);
    let parts = |number: u64| [(number, 13_300), (1_000 + number, 3_700)];
    let mut homes = std::collections::BTreeMap::new();
    for number in 0..30 {
        let ask = Ask::prompt("question", "shop-key", &parts(number));
        let (request, actions) = host.ask(ask);
        let order = sent(&actions).unwrap();
        let idle = order.upstream.as_str() == "engine-0";
        give_tokens(&mut host, request, &order, if idle { 3 } else { 24 });
        homes.insert(number, order.upstream);
        let as_of = host.now;
        host.handle(Event::ConfigurationConfirmed { as_of });
    }
    // Another host sent them; this one only knows the engines' pace.
    for number in 100..130 {
        let ask = Ask::prompt("question", "shop-key", &parts(number));
        let (request, actions) = host.ask(ask);
        let order = sent(&actions).unwrap();
        host.handle(Event::CallerGone { request });
        homes.insert(number, order.upstream);
    }
    let drawn = homes.values().filter(|home| home.as_str() == "engine-0");
    let drawn = drawn.count();
    assert!((10..=32).contains(&drawn), "{drawn} of 60 at one of three");
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
            if let Action::SendNotes { notes } = action {
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
fn notes_stay_within_the_budget_of_control() {
    assert!(note_bytes_in_10_s(7) <= 10 * 25_000);
    assert!(note_bytes_in_10_s(380) <= 10 * 3_000 + 380 * 200);
}
