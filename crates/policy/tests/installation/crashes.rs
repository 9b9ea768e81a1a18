//! Requests that crash the upstreams that run them, and harmless requests on the same upstreams.

use {
    crate::support::{Host, TestRequest, address, engines, lookup, refused, sent, upstreams},
    config::Upstream,
    peer::CrashNote,
    policy::{Action, Event, Refusal, SendOrder},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    types::{Listening, prelude::*},
};

/// Time for which a request is barred.
const BAR_DURATION_S: u64 = 600;

/// A request with a streamed response that must not run twice. Requests with equal bodies are
/// identical.
fn request_with_body(body: &'static str) -> TestRequest {
    TestRequest {
        body: Some(body.to_string()),
        ..TestRequest::prompt("question", "first-key", &[(1, 500), (2, 100)])
    }
}

/// A request that crashes upstreams.
fn fatal_request() -> TestRequest {
    request_with_body("fatal")
}

/// Sends a request that the host passes to an upstream at once.
fn send(host: &mut Host, ask: TestRequest) -> (RequestId, SendOrder) {
    let (request, actions) = host.ask(ask);
    (request, sent(&actions).unwrap())
}

/// Breaks the connection to an upstream while it runs a request.
fn break_connection(host: &mut Host, request: RequestId, order: &SendOrder) -> Vec<Action> {
    let (cause, verdict) = (FailureCause::Reset, Verdict::MayHaveRun);
    host.fail(order, request, cause, verdict, false)
}

/// Reports that an upstream no longer accepts connections, and that the other upstreams which the
/// host then checks do.
fn stop_listening(host: &mut Host, upstream: &UpstreamId) -> Vec<Action> {
    let mut actions = report_listening(host, upstream, Listening::No);
    for other in listening_checks(&actions) {
        actions.extend(report_listening(host, &other, Listening::Yes));
    }
    actions
}

fn report_listening(host: &mut Host, upstream: &UpstreamId, listening: Listening) -> Vec<Action> {
    host.handle(Event::ListeningChecked {
        listening,
        upstream: upstream.clone(),
    })
}

/// Returns the upstreams whose address is to be checked.
fn listening_checks(actions: &[Action]) -> Vec<UpstreamId> {
    let checked = actions.iter().filter_map(|action| match action {
        Action::CheckListening { upstream, .. } => Some(upstream.clone()),
        _ => None,
    });
    checked.collect()
}

/// Sends a request and crashes the upstream that runs it. The directory lists enough other
/// upstreams.
fn crash(host: &mut Host, ask: TestRequest) -> UpstreamId {
    let (request, order) = send(host, ask);
    break_connection(host, request, &order);
    stop_listening(host, &order.upstream);
    read_directory_without_crashed(host);
    order.upstream
}

/// Reads a directory that lists all upstreams that have not crashed.
fn read_directory_without_crashed(host: &mut Host) {
    let mut left = engines(20);
    left.extend(upstreams());
    let crashed = crashed_upstreams(host);
    left.retain(|id, _| !crashed.contains(id));
    host.read_directory(left, &[]);
}

/// Returns the upstreams that crashed while they ran a request of this host.
fn crashed_upstreams(host: &Host) -> BTreeSet<UpstreamId> {
    let crashed = host.actions.iter().filter_map(|action| match action {
        Action::NoteCrash(crash) => Some(crash.upstream.clone()),
        _ => None,
    });
    crashed.collect()
}

/// Returns one engine, and the replicas of the service.
fn only_engine(number: usize) -> BTreeMap<UpstreamId, Upstream> {
    let name = format!("engine-{number}");
    let mut left = upstreams();
    left.retain(|id, _| id.name() == name || id.name().starts_with("shop"));
    left
}

fn crash_announcements(actions: &[Action]) -> Vec<(CrashNote, Vec<SocketAddr>)> {
    let announcements = actions.iter().filter_map(|action| match action {
        Action::SendCrashNote { note, to } => Some((note.clone(), to.clone())),
        _ => None,
    });
    announcements.collect()
}

/// Delivers to each host every second datagram of the crash announcements that the others sent; the
/// remaining datagrams are lost.
fn deliver_half_of_announcements(hosts: &mut [Host]) {
    for from in 0..hosts.len() {
        for (number, (note, to)) in crash_announcements(&hosts[from].actions)
            .into_iter()
            .enumerate()
        {
            for to in to {
                let to = (0..hosts.len()).find(|host| address(*host) == to);
                if let Some(to) = to.filter(|to| (number + to) % 2 == 0) {
                    hosts[to].handle(Event::CrashesReceived(note.clone()));
                }
            }
        }
    }
}

fn refusal(host: &mut Host, ask: TestRequest) -> Option<Refusal> {
    refused(&host.ask(ask).1)
}

/// Guards against a request that crashes a fourth upstream: three hosts observe one crash each
/// under the same request, half of their announcements are lost, and each host counts only its own
/// crash.
#[test]
fn hosts_that_each_observed_one_crash_bar_the_request_together() {
    let mut hosts: Vec<Host> = (0..5).map(Host::new).collect();
    for host in &mut hosts[..3] {
        host.read_directory(engines(20), &[]);
    }
    // Each host uses a different upstream, because the hosts have not exchanged crashes yet.
    for (number, host) in hosts[..3].iter_mut().enumerate() {
        host.read_directory(only_engine(number), &[]);
        crash(host, fatal_request());
    }
    for host in &mut hosts {
        host.advance(1_500);
    }
    deliver_half_of_announcements(&mut hosts);
    for host in &mut hosts {
        let refusal = refusal(host, fatal_request()).unwrap();
        assert_eq!(refusal.reason.code(), "crashes_upstreams");
        assert_eq!(refusal.verdict, Verdict::NotRun);
        let retry_after = refusal.retry_after.unwrap();
        assert!(
            retry_after > Duration::from_secs(BAR_DURATION_S - 10),
            "{retry_after:?}"
        );
        // An identical request of another team and a different request of this team are not barred.
        let of_other = TestRequest {
            key: "shop-key",
            ..fatal_request()
        };
        assert_eq!(refused(&host.ask(of_other).1), None);
        assert_eq!(refused(&host.ask(request_with_body("harmless")).1), None);
    }
}

/// Guards against harmless requests that are refused for ten minutes: an upstream resets
/// connections or loses responses but keeps running, and the broken connections are taken for a
/// crash.
#[test]
fn broken_connections_of_a_running_upstream_bar_no_request() {
    let mut host = Host::new(0);
    for _ in 0..12 {
        host.advance(200);
        let (request, order) = send(&mut host, lookup());
        break_connection(&mut host, request, &order);
        report_listening(&mut host, &order.upstream, Listening::Yes);
        let (request, order) = send(&mut host, fatal_request());
        break_connection(&mut host, request, &order);
        // The upstream refuses connections for a moment, and then responds.
        stop_listening(&mut host, &order.upstream);
        host.advance(10);
        let (request, later) = send(&mut host, request_with_body("harmless"));
        host.finish(&later, request);
    }
    assert_eq!(refusal(&mut host, request_with_body("harmless")), None);
    assert_eq!(refusal(&mut host, fatal_request()), None);
}

/// Guards against hosts that refuse harmless requests during a partition: connections to another
/// failure domain are reset and new ones refused, and its unreachable upstreams are taken for
/// crashed.
#[test]
fn upstreams_behind_a_partition_have_not_crashed() {
    let mut host = Host::new(0);
    let mut used = Vec::new();
    for _ in 0..4 {
        // Excludes the upstreams already used, so that another one is chosen.
        let leaving: Vec<&str> = used.iter().map(UpstreamId::name).collect();
        host.read_directory(engines(20), &leaving);
        let (request, order) = send(&mut host, fatal_request());
        let mut unchecked = listening_checks(&break_connection(&mut host, request, &order));
        // All checked upstreams refuse connections.
        while let Some(upstream) = unchecked.pop() {
            unchecked.extend(listening_checks(&report_listening(
                &mut host,
                &upstream,
                Listening::No,
            )));
        }
        used.push(order.upstream);
    }
    assert!(crashed_upstreams(&host).is_empty());
}

/// Guards against harmless requests that stay refused for ten minutes: upstreams refuse the
/// connections of one or of all hosts for some seconds, and stay recorded as crashed although the
/// directory still lists them.
#[test]
fn an_upstream_that_stays_listed_has_not_crashed() {
    let mut host = Host::new(0);
    let mut used = Vec::new();
    for _ in 0..3 {
        // Excludes the upstreams already used, so that another one is chosen.
        let leaving: Vec<&str> = used.iter().map(UpstreamId::name).collect();
        host.read_directory(engines(20), &leaving);
        let (request, order) = send(&mut host, fatal_request());
        break_connection(&mut host, request, &order);
        stop_listening(&mut host, &order.upstream);
        used.push(order.upstream);
    }
    host.read_directory(engines(20), &[]);
    assert!(refusal(&mut host, fatal_request()).is_some());
    host.advance(9_000);
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
    assert_eq!(refusal(&mut host, fatal_request()), None);
}

/// Guards against harmless requests that are refused after several crashes: they run on three
/// upstreams that a fatal request crashes one after the other, and every request on a crashed
/// upstream is held responsible.
#[test]
fn requests_that_share_the_upstreams_of_a_fatal_one_are_not_barred() {
    for is_weak in [false, true] {
        let mut host = Host::new(0);
        host.read_directory(engines(20), &[]);
        for _ in 0..4 {
            let (fatal, order) = send(&mut host, fatal_request());
            let (harmless, harmless_order) = send(&mut host, request_with_body("innocent"));
            assert_eq!(
                harmless_order.upstream, order.upstream,
                "both requests use one upstream"
            );
            if is_weak {
                host.handle(Event::Progressed {
                    attempt: harmless_order.attempt,
                    longest_pause: Duration::ZERO,
                    request: harmless,
                    tokens: Tokens::new(5),
                });
            }
            break_connection(&mut host, harmless, &harmless_order);
            break_connection(&mut host, fatal, &order);
            stop_listening(&mut host, &order.upstream);
            read_directory_without_crashed(&mut host);
            if refusal(&mut host, fatal_request()).is_some() {
                break;
            }
        }
        let barred =
            ["innocent", "fatal"].map(|body| refusal(&mut host, request_with_body(body)).is_some());
        // If nothing distinguishes the two requests, only one of them is barred.
        assert_eq!(barred.iter().filter(|barred| **barred).count(), 1);
        if is_weak {
            assert_eq!(barred, [false, true]);
        }
    }
}

/// Guards against refusing a frequent harmless request: three replicas crash within an hour while
/// one of many identical requests runs there, the other requests complete, and the crashes still
/// add up.
#[test]
fn a_request_that_completed_is_cleared() {
    let mut host = Host::new(0);
    for _ in 0..5 {
        crash(&mut host, fatal_request());
        let (request, order) = send(&mut host, fatal_request());
        host.finish(&order, request);
    }
    assert_eq!(refusal(&mut host, fatal_request()), None);
}

/// Guards against one retryable request that crashes four upstreams by itself: each of its attempts
/// crashes one. The third crash is known when the next attempt is chosen, or while the request is
/// queued, but only new requests are checked.
#[test]
fn a_barred_request_is_not_retried() {
    let repeatable = || TestRequest {
        body: Some("fatal".to_string()),
        ..lookup()
    };
    let mut host = Host::new(0);
    let (request, first) = send(&mut host, repeatable());
    stop_listening(&mut host, &first.upstream);
    let second = sent(&break_connection(&mut host, request, &first)).unwrap();
    assert_ne!(second.upstream, first.upstream);
    stop_listening(&mut host, &second.upstream);
    break_connection(&mut host, request, &second);
    let mut left = upstreams();
    left.retain(|id, _| ![&first.upstream, &second.upstream].contains(&id));
    host.read_directory(left, &[]);
    let (request, third) = send(&mut host, repeatable());
    host.read_directory(upstreams(), &[]);
    stop_listening(&mut host, &third.upstream);
    let actions = break_connection(&mut host, request, &third);
    assert_eq!(sent(&actions), None);
    let refusal = refused(&actions).unwrap();
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

/// Guards against a barred request that still runs: it is queued when another host announces the
/// third crash, and only new requests are checked.
#[test]
fn a_queued_request_is_refused_once_it_is_barred() {
    let mut observer = Host::new(1);
    observer.read_directory(engines(20), &[]);
    for _ in 0..3 {
        crash(&mut observer, fatal_request());
    }
    observer.advance(2_000);
    let mut host = Host::new(0);
    host.read_directory(BTreeMap::new(), &[]);
    let (_, actions) = host.ask(fatal_request());
    assert_eq!((sent(&actions), refused(&actions)), (None, None));
    let mut after = Vec::new();
    for (note, _) in crash_announcements(&observer.actions) {
        after.extend(host.handle(Event::CrashesReceived(note)));
    }
    assert_eq!(refused(&after).unwrap().reason.code(), "crashes_upstreams");
}

/// Guards against a request that stays refused after the upstreams were fixed, because its record
/// ends too late, and against one that crashes three more upstreams whenever the bar ends, because
/// the whole record is dropped.
#[test]
fn one_attempt_is_allowed_after_the_bar() {
    let mut host = Host::new(0);
    host.read_directory(engines(20), &[]);
    for _ in 0..3 {
        crash(&mut host, fatal_request());
    }
    assert!(refusal(&mut host, fatal_request()).is_some());
    host.now = host.now.plus_ms(1_000 * BAR_DURATION_S);
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
    crash(&mut host, fatal_request());
    assert!(refusal(&mut host, fatal_request()).is_some());
}

/// Guards against a fatal request that is let through again: many different requests run on
/// upstreams that crash, and the bounded record evicts the oldest entries first.
#[test]
fn a_flood_of_other_requests_does_not_evict_a_barred_one() {
    let mut host = Host::new(0);
    host.read_directory(engines(20), &[]);
    for _ in 0..3 {
        crash(&mut host, fatal_request());
    }
    for number in 0..6_000_u32 {
        let note = CrashNote {
            cleared: Vec::new(),
            crashes: vec![peer::Crash {
                age_ms: 0,
                is_weak: false,
                subject: CrashSubject::Request(Fingerprint::of_request(
                    "POST",
                    "/",
                    &number.to_be_bytes(),
                )),
                upstream: format!("other-{}", number / 100).parse().unwrap(),
            }],
            host: "host-1".parse().unwrap(),
            protocol: peer::PROTOCOL,
        };
        host.handle(Event::CrashesReceived(note));
    }
    assert!(refusal(&mut host, fatal_request()).is_some());
}

/// Guards against refused requests after a planned stop: leaving upstreams end while requests run,
/// and their end is taken for a crash.
#[test]
fn the_end_of_a_leaving_upstream_is_not_a_crash() {
    let mut host = Host::new(0);
    let (request, order) = send(&mut host, fatal_request());
    host.read_directory(upstreams(), &[order.upstream.name()]);
    break_connection(&mut host, request, &order);
    stop_listening(&mut host, &order.upstream);
    host.read_directory(upstreams(), &[]);
    assert!(crashed_upstreams(&host).is_empty());
}

/// Guards against a crash that is not counted: an upstream loses power under a request, connections
/// to it time out instead of being refused, and its directory entry expires some seconds later. A
/// refused connection must not be the only sign of a crash.
#[test]
fn an_expired_directory_entry_is_a_sign_of_a_crash() {
    let mut host = Host::new(0);
    let (request, order) = send(&mut host, fatal_request());
    let (cause, verdict) = (FailureCause::Silent, Verdict::MayHaveRun);
    host.fail(&order, request, cause, verdict, false);
    host.advance(3_000);
    let mut left = upstreams();
    left.remove(&order.upstream);
    host.read_directory(left, &[]);
    assert_eq!(crashed_upstreams(&host), BTreeSet::from([order.upstream]));
}

/// Guards against crash announcements that saturate the links of the hosts: an upstream crashes
/// under all the requests that 381 hosts can have there, and each crash is announced to all hosts
/// at once, again and again. Each crash is announced three times, and a host sends at most 200 kB
/// per second for it.
#[test]
fn crash_announcements_are_bounded() {
    let mut host = Host::new(0);
    host.list_hosts(381);
    host.read_directory(only_engine(0), &[]);
    let asked: Vec<(RequestId, SendOrder)> =
        (0..20).map(|_| send(&mut host, unique_request())).collect();
    for (request, order) in &asked {
        break_connection(&mut host, *request, order);
    }
    stop_listening(&mut host, &asked[0].1.upstream);
    host.advance(15_000);
    let notes = crash_announcements(&host.actions);
    let crashes = notes.iter().flat_map(|(note, _)| &note.crashes);
    let (of_parts, of_requests): (Vec<_>, Vec<_>) =
        crashes.partition(|crash| is_of_part(&crash.subject));
    assert_eq!(of_requests.len(), 3 * asked.len());
    // All these prompts have the same shared part.
    assert_eq!(of_parts.len(), 3);
    let sent = notes.iter().map(|(note, to)| {
        assert_eq!(to.len(), 380);
        note.to_datagram("token").len() * to.len()
    });
    let sent: usize = sent.sum();
    assert!(sent <= 15 * 200_000, "{sent} bytes in 15 s");
    // A host that received all crashes announces none of them.
    let mut other = Host::new(1);
    for (note, _) in notes {
        other.handle(Event::CrashesReceived(note));
    }
    other.advance(2_000);
    assert!(crash_announcements(&other.actions).is_empty());
}

/// A fatal request with a body that no other request has.
fn unique_request() -> TestRequest {
    TestRequest {
        body: None,
        ..fatal_request()
    }
}

/// Guards against refusing a frequent harmless request after several crashes: it is on three
/// upstreams that a fatal request crashes, so the crashes alone do not distinguish the two, and its
/// earlier completions count for nothing.
#[test]
fn a_request_that_completed_before_gets_fewer_points() {
    // Several names, so that the fingerprint is lower than that of the fatal request for some and
    // higher for others.
    for name in ["popular", "asked for by many", "usual"] {
        let mut host = Host::new(0);
        host.read_directory(engines(20), &[]);
        let (request, order) = send(&mut host, request_with_body(name));
        host.finish(&order, request);
        for _ in 0..3 {
            let (popular, popular_order) = send(&mut host, request_with_body(name));
            let (fatal, order) = send(&mut host, fatal_request());
            assert_eq!(
                popular_order.upstream, order.upstream,
                "both requests use one upstream"
            );
            break_connection(&mut host, popular, &popular_order);
            break_connection(&mut host, fatal, &order);
            stop_listening(&mut host, &order.upstream);
            read_directory_without_crashed(&mut host);
        }
        assert_eq!(refusal(&mut host, request_with_body(name)), None);
        assert!(refusal(&mut host, fatal_request()).is_some());
    }
}

/// Guards against refusing a frequent harmless request an hour after its first crash: upstreams
/// occasionally crash under it, each completion clears the crash, and the same crash then counts
/// anew when it is announced again or read from the store.
#[test]
fn crashes_announced_again_after_a_completion_do_not_count() {
    let mut host = Host::new(0);
    host.read_directory(engines(20), &[]);
    let announced = |number: u32| CrashNote {
        cleared: Vec::new(),
        crashes: vec![peer::Crash {
            age_ms: 900,
            is_weak: false,
            subject: CrashSubject::Request(
                Fingerprint::of_request("POST", "question", b"popular")
                    .for_team(&"first".parse().unwrap()),
            ),
            upstream: format!("other-{number}").parse().unwrap(),
        }],
        host: "host-1".parse().unwrap(),
        protocol: peer::PROTOCOL,
    };
    for number in 0..8 {
        host.advance(1_000);
        host.handle(Event::CrashesReceived(announced(number)));
        let (request, order) = send(&mut host, request_with_body("popular"));
        host.finish(&order, request);
        host.advance(100);
        host.handle(Event::CrashesReceived(announced(number)));
        host.handle(Event::CrashesListed(announced(number).crashes));
        let as_of = host.now;
        host.handle(Event::ConfigurationConfirmed { as_of });
    }
    assert_eq!(refusal(&mut host, request_with_body("popular")), None);
    assert!(stored_crashes(&host.actions).is_empty());
}

/// Guards against one host that refuses a frequent harmless request which all others serve: the
/// host has just started and learns of four crashes under the request before it sees a completion.
/// The bar then prevents any completion on this host, so completions have to be announced like
/// crashes.
#[test]
fn a_host_learns_that_a_request_it_bars_completed_elsewhere() {
    let mut others: Vec<Host> = (1..5).map(Host::new).collect();
    let mut started = Host::new(0);
    for (number, other) in others.iter_mut().enumerate() {
        other.read_directory(only_engine(number % 3), &[]);
        crash(other, request_with_body("popular"));
        for (note, _) in crash_announcements(&other.actions) {
            started.handle(Event::CrashesReceived(note));
        }
        other.actions.clear();
    }
    assert!(refusal(&mut started, request_with_body("popular")).is_some());
    let other = &mut others[0];
    other.advance(500);
    let (request, order) = send(other, request_with_body("popular"));
    other.finish(&order, request);
    other.advance(1_000);
    started.advance(1_500);
    for (note, _) in crash_announcements(&other.actions) {
        started.handle(Event::CrashesReceived(note));
    }
    assert_eq!(refusal(&mut started, request_with_body("popular")), None);
}

fn is_of_part(subject: &CrashSubject) -> bool {
    matches!(subject, CrashSubject::PromptPart(_))
}

/// Returns the stored crashes of whole requests, for each store call.
fn stored_crashes(actions: &[Action]) -> Vec<Vec<peer::Crash>> {
    stored(actions, |subject| !is_of_part(subject))
}

/// Returns the stored crashes of prompt parts, for each store call.
fn stored_part_crashes(actions: &[Action]) -> Vec<Vec<peer::Crash>> {
    stored(actions, is_of_part)
}

fn stored(actions: &[Action], of: fn(&CrashSubject) -> bool) -> Vec<Vec<peer::Crash>> {
    let stored = actions.iter().filter_map(|action| match action {
        Action::StoreCrashes(crashes) if of(&crashes[0].subject) => Some(crashes.clone()),
        _ => None,
    });
    stored.collect()
}

/// Guards against a store call from each host for each crash: an upstream crashes once under many
/// requests, and all of these crashes are stored. Crashes are stored from the second crash of one
/// request on, each once, by the host that observed it.
#[test]
fn crashes_of_a_request_are_stored_from_the_second_on() {
    let mut host = Host::new(0);
    host.read_directory(engines(20), &[]);
    let first = crash(&mut host, fatal_request());
    crash(
        &mut host,
        TestRequest::prompt("question", "first-key", &[(3, 500), (4, 100)]),
    );
    assert!(stored_crashes(&host.actions).is_empty());
    let second = crash(&mut host, fatal_request());
    let names = |crashes: &[peer::Crash]| -> BTreeSet<UpstreamId> {
        crashes.iter().map(|crash| crash.upstream.clone()).collect()
    };
    let all = stored_crashes(&host.actions);
    assert_eq!(all.len(), 1);
    assert_eq!(
        names(&all[0]),
        BTreeSet::from([first.clone(), second.clone()])
    );
    assert!(stored_part_crashes(&host.actions).is_empty());
    let third = crash(&mut host, fatal_request());
    let all = stored_crashes(&host.actions);
    assert_eq!(all.len(), 2);
    assert_eq!(names(&all[1]), BTreeSet::from([third.clone()]));
    // Those of a prompt part are stored from the third on.
    let of_part = stored_part_crashes(&host.actions);
    assert_eq!(of_part.len(), 1);
    assert_eq!(names(&of_part[0]), BTreeSet::from([first, second, third]));
}

/// Guards against hosts of another failure domain that keep sending a barred request: the domains
/// are partitioned but all reach the store, and crashes are announced by datagrams only.
#[test]
fn a_host_without_announcements_learns_of_crashes_from_the_store() {
    let mut observer = Host::new(0);
    observer.read_directory(engines(20), &[]);
    for _ in 0..3 {
        crash(&mut observer, fatal_request());
    }
    let listed: Vec<peer::Crash> = stored_crashes(&observer.actions).concat();
    let mut other = Host::new(1);
    other.handle(Event::CrashesListed(listed.clone()));
    assert!(refusal(&mut other, fatal_request()).is_some());
    // The host neither announces nor stores the crashes that it read from the store.
    other.advance(2_000);
    assert!(
        crash_announcements(&other.actions).is_empty() && stored_crashes(&other.actions).is_empty()
    );
    // An upstream that is listed long after its supposed crash has not crashed.
    let mut late = Host::new(2);
    late.now = late.now.plus_ms(100_000);
    let as_of = late.now;
    late.handle(Event::ConfigurationConfirmed { as_of });
    late.read_directory(engines(20), &[]);
    let old = listed.into_iter().map(|crash| peer::Crash {
        age_ms: 60_000,
        ..crash
    });
    late.handle(Event::CrashesListed(old.collect()));
    assert_eq!(refusal(&mut late, fatal_request()), None);
}

/// A prompt with a part that crashes upstreams; all its other parts differ from those of other
/// prompts.
fn prompt_with_fatal_part(number: u64) -> TestRequest {
    let parts = [(1_000 + number, 500), (7, 400), (2_000 + number, 100)];
    TestRequest::prompt("question", "first-key", &parts)
}

/// Guards against prompts that crash one upstream each although their part is barred: they wait at
/// upstreams when the third crash becomes known, and only those queued at the host are refused.
#[test]
fn attempts_that_wait_at_upstreams_are_abandoned_once_barred() {
    let mut host = Host::new(0);
    host.read_directory(engines(20), &[]);
    let (waiting, waiting_order) = send(&mut host, prompt_with_fatal_part(0));
    let (begun, begun_order) = send(&mut host, prompt_with_fatal_part(1));
    host.handle(Event::Progressed {
        attempt: begun_order.attempt,
        longest_pause: Duration::ZERO,
        request: begun,
        tokens: Tokens::new(5),
    });
    let mut observer = Host::new(1);
    observer.read_directory(engines(20), &[]);
    for number in 2..5 {
        crash(&mut observer, prompt_with_fatal_part(number));
    }
    observer.advance(2_000);
    let mut after = Vec::new();
    for (note, _) in crash_announcements(&observer.actions) {
        after.extend(host.handle(Event::CrashesReceived(note)));
    }
    let abandoned = after.iter().filter_map(|action| match action {
        Action::Abandon { request, .. } => Some(*request),
        _ => None,
    });
    assert_eq!(abandoned.collect::<Vec<_>>(), [waiting]);
    let (cause, verdict) = (FailureCause::Silent, Verdict::MayHaveRun);
    let ended = host.fail(&waiting_order, waiting, cause, verdict, false);
    assert_eq!(refused(&ended).unwrap().verdict, Verdict::MayHaveRun);
    assert_eq!(listening_checks(&ended), []);
}
