//! Requests that crash the upstreams that run them, and innocent ones beside them.

use {
    crate::support::{Ask, Host, address, engines, lookup, refused, sent, upstreams},
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
const BARRED_S: u64 = 600;

/// A stream that must not run twice, the same each time.
fn stream(body: &'static str) -> Ask {
    Ask {
        body: Some(body.to_string()),
        ..Ask::prompt("question", "first-key", &[(1, 500), (2, 100)])
    }
}

fn fatal() -> Ask {
    stream("fatal")
}

/// Sends a request that is sent on.
fn send(host: &mut Host, ask: Ask) -> (RequestId, SendOrder) {
    let (request, actions) = host.ask(ask);
    (request, sent(&actions).unwrap())
}

/// The connection to an upstream breaks under a request.
fn breaks(host: &mut Host, request: RequestId, order: &SendOrder) -> Vec<Action> {
    let (cause, verdict) = (FailureCause::Reset, Verdict::MayHaveRun);
    host.fail(order, request, cause, verdict, false)
}

/// Nobody listens at an upstream's address any more; whoever else is looked at listens.
fn ends(host: &mut Host, upstream: &UpstreamId) -> Vec<Action> {
    let mut actions = look(host, upstream, Listening::No);
    for witness in looked_at(&actions) {
        actions.extend(look(host, &witness, Listening::Yes));
    }
    actions
}

fn look(host: &mut Host, upstream: &UpstreamId, listening: Listening) -> Vec<Action> {
    host.handle(Event::ListeningChecked {
        listening,
        upstream: upstream.clone(),
    })
}

/// Upstreams that are to be looked at.
fn looked_at(actions: &[Action]) -> Vec<UpstreamId> {
    let looked_at = actions.iter().filter_map(|action| match action {
        Action::CheckListening { upstream, .. } => Some(upstream.clone()),
        _ => None,
    });
    looked_at.collect()
}

/// A request comes, and the upstream that it is sent to ends under it. The directory lists
/// enough others.
fn crash(host: &mut Host, ask: Ask) -> UpstreamId {
    let (request, order) = send(host, ask);
    breaks(host, request, &order);
    ends(host, &order.upstream);
    read_without_ended(host);
    order.upstream
}

/// The directory is read again, and lists whatever has not ended.
fn read_without_ended(host: &mut Host) {
    let mut left = engines(20);
    left.extend(upstreams());
    let gone = ended_so_far(host);
    left.retain(|id, _| !gone.contains(id));
    host.read_directory(left, &[]);
}

/// Upstreams that ended under a request at this host.
fn ended_so_far(host: &Host) -> BTreeSet<UpstreamId> {
    let noted = host.actions.iter().filter_map(|action| match action {
        Action::NoteCrash(noted) => Some(noted.upstream.clone()),
        _ => None,
    });
    noted.collect()
}

/// One engine, and the replicas of the service.
fn only_engine(number: usize) -> BTreeMap<UpstreamId, Upstream> {
    let name = format!("engine-{number}");
    let mut left = upstreams();
    left.retain(|id, _| id.name() == name || id.name().starts_with("shop"));
    left
}

fn advertised(actions: &[Action]) -> Vec<(CrashNote, Vec<SocketAddr>)> {
    let advertised = actions.iter().filter_map(|action| match action {
        Action::SendCrashNote { note, to } => Some((note.clone(), to.clone())),
        _ => None,
    });
    advertised.collect()
}

/// Gives each host what the others announced so far; every second datagram to it is lost.
fn exchange_half(hosts: &mut [Host]) {
    for from in 0..hosts.len() {
        for (number, (note, to)) in advertised(&hosts[from].actions).into_iter().enumerate() {
            for to in to {
                let to = (0..hosts.len()).find(|host| address(*host) == to);
                if let Some(to) = to.filter(|to| (number + to) % 2 == 0) {
                    hosts[to].handle(Event::CrashesReceived(note.clone()));
                }
            }
        }
    }
}

fn refusal(host: &mut Host, ask: Ask) -> Option<Refusal> {
    refused(&host.ask(ask).1)
}

/// Symptom: the fourth upstream ends. Events: three hosts see one end each under the same
/// request; half of what they tell each other is lost. Cause: each knows only its own.
#[test]
fn hosts_that_saw_one_crash_each_bar_the_request_together() {
    let mut hosts: Vec<Host> = (0..5).map(Host::new).collect();
    for host in &mut hosts[..3] {
        host.read_directory(engines(20), &[]);
    }
    // Each on an upstream of its own: the others have learned of no crash yet.
    for (number, host) in hosts[..3].iter_mut().enumerate() {
        host.read_directory(only_engine(number), &[]);
        crash(host, fatal());
    }
    for host in &mut hosts {
        host.pass(1_500);
    }
    exchange_half(&mut hosts);
    for host in &mut hosts {
        let refusal = refusal(host, fatal()).unwrap();
        assert_eq!(refusal.reason.code(), "crashes_upstreams");
        assert_eq!(refusal.verdict, Verdict::NotRun);
        let back = refusal.retry_after.unwrap();
        assert!(back > Duration::from_secs(BARRED_S - 10), "{back:?}");
        // The same of another team, and another one of this team.
        let of_other = Ask {
            key: "shop-key",
            ..fatal()
        };
        assert_eq!(refused(&host.ask(of_other).1), None);
        assert_eq!(refused(&host.ask(stream("harmless")).1), None);
    }
}

/// Symptom: harmless requests are refused for ten minutes. Events: an upstream resets
/// connections, or loses answers, and lives on. Cause: a broken connection is taken for
/// the upstream's end.
#[test]
fn broken_connections_of_an_upstream_that_lives_bar_nobody() {
    let mut host = Host::new(0);
    for _ in 0..12 {
        host.pass(200);
        let (request, order) = send(&mut host, lookup());
        breaks(&mut host, request, &order);
        look(&mut host, &order.upstream, Listening::Yes);
        let (request, order) = send(&mut host, fatal());
        breaks(&mut host, request, &order);
        // It refuses connections for a moment, and answers then.
        ends(&mut host, &order.upstream);
        host.pass(10);
        let (request, later) = send(&mut host, stream("harmless"));
        host.finish(&later, request);
    }
    assert_eq!(refusal(&mut host, stream("harmless")), None);
    assert_eq!(refusal(&mut host, fatal()), None);
}

/// Symptom: two hosts refuse requests of their callers that do no harm. Events: their
/// failure domain is cut off from another one; connections are reset, and new ones refused.
/// Cause: upstreams out of reach are taken for ended.
#[test]
fn upstreams_beyond_a_cut_have_not_ended() {
    let mut host = Host::new(0);
    let mut used = Vec::new();
    for _ in 0..4 {
        // Another one is chosen each time.
        let leaving: Vec<&str> = used.iter().map(UpstreamId::name).collect();
        host.read_directory(engines(20), &leaving);
        let (request, order) = send(&mut host, fatal());
        let mut asked = looked_at(&breaks(&mut host, request, &order));
        // Whoever is looked at refuses.
        while let Some(upstream) = asked.pop() {
            asked.extend(looked_at(&look(&mut host, &upstream, Listening::No)));
        }
        used.push(order.upstream);
    }
    assert!(ended_so_far(&host).is_empty());
}

/// Symptom: harmless requests stay refused for ten minutes. Events: upstreams refuse
/// connections of one host, or of all, for some seconds. Cause: that they have ended is
/// believed on, though their entries stay.
#[test]
fn an_upstream_that_stays_listed_has_not_ended() {
    let mut host = Host::new(0);
    let mut used = Vec::new();
    for _ in 0..3 {
        // Another one is chosen each time.
        let leaving: Vec<&str> = used.iter().map(UpstreamId::name).collect();
        host.read_directory(engines(20), &leaving);
        let (request, order) = send(&mut host, fatal());
        breaks(&mut host, request, &order);
        ends(&mut host, &order.upstream);
        used.push(order.upstream);
    }
    host.read_directory(engines(20), &[]);
    assert!(refusal(&mut host, fatal()).is_some());
    host.pass(9_000);
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
    assert_eq!(refusal(&mut host, fatal()), None);
}

/// Symptom: innocent callers are refused after a storm of crashes. Events: their streams
/// run on three upstreams that a guilty request ends one after the other. Cause: all that
/// was there counts as guilty.
#[test]
fn requests_that_share_the_upstreams_of_a_guilty_one_are_not_barred() {
    for is_weak in [false, true] {
        let mut host = Host::new(0);
        host.read_directory(engines(20), &[]);
        for _ in 0..4 {
            let (guilty, order) = send(&mut host, fatal());
            let (innocent, beside) = send(&mut host, stream("innocent"));
            assert_eq!(beside.upstream, order.upstream, "both have one home");
            if is_weak {
                host.handle(Event::Progressed {
                    attempt: beside.attempt,
                    longest_pause: Duration::ZERO,
                    request: innocent,
                    tokens: Tokens::new(5),
                });
            }
            breaks(&mut host, innocent, &beside);
            breaks(&mut host, guilty, &order);
            ends(&mut host, &order.upstream);
            read_without_ended(&mut host);
            if refusal(&mut host, fatal()).is_some() {
                break;
            }
        }
        let barred = ["innocent", "fatal"].map(|body| refusal(&mut host, stream(body)).is_some());
        // Where nothing tells the two apart one of them is barred, and not both.
        assert_eq!(barred.iter().filter(|barred| **barred).count(), 1);
        if is_weak {
            assert_eq!(barred, [false, true]);
        }
    }
}

/// Symptom: a harmless request that is asked for all day is refused. Events: three replicas
/// crash in an hour while one of many identical requests is there; all others are answered.
/// Cause: crashes add up whatever happens between them.
#[test]
fn a_request_that_ran_to_its_end_is_cleared() {
    let mut host = Host::new(0);
    for _ in 0..5 {
        crash(&mut host, fatal());
        let (request, order) = send(&mut host, fatal());
        host.finish(&order, request);
    }
    assert_eq!(refusal(&mut host, fatal()), None);
}

/// Symptom: a request that may be repeated ends four upstreams by itself. Events: each
/// attempt of it ends one; the third end is known when the next attempt is chosen, or while
/// it waits in the queue. Cause: only new requests are looked at.
#[test]
fn attempts_that_are_left_are_not_made_of_a_barred_request() {
    let repeatable = || Ask {
        body: Some("fatal".to_string()),
        ..lookup()
    };
    let mut host = Host::new(0);
    let (request, first) = send(&mut host, repeatable());
    ends(&mut host, &first.upstream);
    let second = sent(&breaks(&mut host, request, &first)).unwrap();
    assert_ne!(second.upstream, first.upstream);
    ends(&mut host, &second.upstream);
    breaks(&mut host, request, &second);
    let mut left = upstreams();
    left.retain(|id, _| ![&first.upstream, &second.upstream].contains(&id));
    host.read_directory(left, &[]);
    let (request, third) = send(&mut host, repeatable());
    host.read_directory(upstreams(), &[]);
    ends(&mut host, &third.upstream);
    let actions = breaks(&mut host, request, &third);
    assert_eq!(sent(&actions), None);
    let refusal = refused(&actions).unwrap();
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

/// Symptom: a barred request still runs. Events: it waits for an upstream when another host
/// tells of the third end. Cause: only newcomers are looked at.
#[test]
fn a_queued_request_is_refused_once_it_is_barred() {
    let mut teller = Host::new(1);
    teller.read_directory(engines(20), &[]);
    for _ in 0..3 {
        crash(&mut teller, fatal());
    }
    teller.pass(2_000);
    let mut host = Host::new(0);
    host.read_directory(BTreeMap::new(), &[]);
    let (_, actions) = host.ask(fatal());
    assert_eq!((sent(&actions), refused(&actions)), (None, None));
    let mut after = Vec::new();
    for (note, _) in advertised(&teller.actions) {
        after.extend(host.handle(Event::CrashesReceived(note)));
    }
    assert_eq!(refused(&after).unwrap().reason.code(), "crashes_upstreams");
}

/// Symptom: a request stays refused after the upstreams were mended; or it takes three more
/// of them each time that it is let through. Cause: the record ends too late, or whole.
#[test]
fn after_a_while_one_try_is_made() {
    let mut host = Host::new(0);
    host.read_directory(engines(20), &[]);
    for _ in 0..3 {
        crash(&mut host, fatal());
    }
    assert!(refusal(&mut host, fatal()).is_some());
    host.now = host.now.plus_ms(1_000 * BARRED_S);
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
    crash(&mut host, fatal());
    assert!(refusal(&mut host, fatal()).is_some());
}

/// Symptom: a guilty request is let through again. Events: its caller, or another one, has
/// many different requests on upstreams that end. Cause: the record is bounded, and the
/// oldest goes first.
#[test]
fn a_flood_of_other_requests_pushes_no_barred_one_out() {
    let mut host = Host::new(0);
    host.read_directory(engines(20), &[]);
    for _ in 0..3 {
        crash(&mut host, fatal());
    }
    for number in 0..6_000_u32 {
        let note = CrashNote {
            cleared: Vec::new(),
            crashes: vec![peer::Crash {
                age_ms: 0,
                fingerprint: Fingerprint::of_request("POST", "/", &number.to_be_bytes()),
                is_weak: false,
                upstream: format!("other-{}", number / 100).parse().unwrap(),
            }],
            host: "host-1".parse().unwrap(),
            protocol: peer::PROTOCOL,
        };
        host.handle(Event::CrashesReceived(note));
    }
    assert!(refusal(&mut host, fatal()).is_some());
}

/// Symptom: callers of a planned stop are refused later. Events: upstreams that leave end
/// while requests run. Cause: their end is taken for a crash.
#[test]
fn the_end_of_an_upstream_that_leaves_is_no_crash() {
    let mut host = Host::new(0);
    let (request, order) = send(&mut host, fatal());
    host.read_directory(upstreams(), &[order.upstream.name()]);
    breaks(&mut host, request, &order);
    ends(&mut host, &order.upstream);
    host.read_directory(upstreams(), &[]);
    assert!(ended_so_far(&host).is_empty());
}

/// Symptom: an upstream without power ends under a request, and nobody counts it. Events:
/// connections to it break for want of an answer, nobody refuses new ones, and its entry
/// lapses some seconds later. Cause: only a refused connection is a sign of its end.
#[test]
fn an_entry_that_lapses_tells_of_a_crash() {
    let mut host = Host::new(0);
    let (request, order) = send(&mut host, fatal());
    let (cause, verdict) = (FailureCause::Silent, Verdict::MayHaveRun);
    host.fail(&order, request, cause, verdict, false);
    host.pass(3_000);
    let mut left = upstreams();
    left.remove(&order.upstream);
    host.read_directory(left, &[]);
    assert_eq!(ended_so_far(&host), BTreeSet::from([order.upstream]));
}

/// Symptom: a crash takes the hosts' links. Events: an upstream ends under all the requests
/// that 381 hosts can have there. Cause: each is announced to all hosts at once, over and over.
///
/// Each crash is announced three times, and a host sends no more than 200 kB a second for it.
#[test]
fn telling_is_bounded_by_hosts_and_crashes() {
    let mut host = Host::new(0);
    host.list_hosts(381);
    host.read_directory(only_engine(0), &[]);
    let asked: Vec<(RequestId, SendOrder)> =
        (0..20).map(|_| send(&mut host, stream_of_own())).collect();
    for (request, order) in &asked {
        breaks(&mut host, *request, order);
    }
    ends(&mut host, &asked[0].1.upstream);
    host.pass(15_000);
    let notes = advertised(&host.actions);
    let crashes: usize = notes.iter().map(|(note, _)| note.crashes.len()).sum();
    assert_eq!(crashes, 3 * asked.len());
    let sent = notes.iter().map(|(note, to)| {
        assert_eq!(to.len(), 380);
        note.to_datagram("token").len() * to.len()
    });
    let sent: usize = sent.sum();
    assert!(sent <= 15 * 200_000, "{sent} bytes in 15 s");
    // A host notified of all crashes tells nobody.
    let mut other = Host::new(1);
    for (note, _) in notes {
        other.handle(Event::CrashesReceived(note));
    }
    other.pass(2_000);
    assert!(advertised(&other.actions).is_empty());
}

/// A stream that no other request is the same as.
fn stream_of_own() -> Ask {
    Ask {
        body: None,
        ..fatal()
    }
}

/// Symptom: what many callers ask for all day is refused after a storm of crashes. Events:
/// it waits on three upstreams that a guilty request ends, and so looks like it. Cause: that
/// it has run a hundred times counts for nothing.
#[test]
fn a_request_that_ran_before_is_less_suspect() {
    // Whichever has the lower fingerprint.
    for name in ["popular", "asked for by many", "usual"] {
        let mut host = Host::new(0);
        host.read_directory(engines(20), &[]);
        let (request, order) = send(&mut host, stream(name));
        host.finish(&order, request);
        for _ in 0..3 {
            let (popular, beside) = send(&mut host, stream(name));
            let (guilty, order) = send(&mut host, fatal());
            assert_eq!(beside.upstream, order.upstream, "both have one home");
            breaks(&mut host, popular, &beside);
            breaks(&mut host, guilty, &order);
            ends(&mut host, &order.upstream);
            read_without_ended(&mut host);
        }
        assert_eq!(refusal(&mut host, stream(name)), None);
        assert!(refusal(&mut host, fatal()).is_some());
    }
}

/// Symptom: what many callers ask for all day is refused, an hour after the first crash.
/// Events: ordinary crashes of upstreams, now and then, each under one of them; it is cleared
/// each time, and then announced again, or read from the store. Cause: old news count anew.
#[test]
fn what_is_announced_again_after_a_request_ran_is_no_news() {
    let mut host = Host::new(0);
    host.read_directory(engines(20), &[]);
    let advertised = |number: u32| CrashNote {
        cleared: Vec::new(),
        crashes: vec![peer::Crash {
            age_ms: 900,
            fingerprint: Fingerprint::of_request("POST", "question", b"popular")
                .for_team(&"first".parse().unwrap()),
            is_weak: false,
            upstream: format!("other-{number}").parse().unwrap(),
        }],
        host: "host-1".parse().unwrap(),
        protocol: peer::PROTOCOL,
    };
    for number in 0..8 {
        host.pass(1_000);
        host.handle(Event::CrashesReceived(advertised(number)));
        let (request, order) = send(&mut host, stream("popular"));
        host.finish(&order, request);
        host.pass(100);
        host.handle(Event::CrashesReceived(advertised(number)));
        host.handle(Event::CrashesListed(advertised(number).crashes));
        let as_of = host.now;
        host.handle(Event::ConfigurationConfirmed { as_of });
    }
    assert_eq!(refusal(&mut host, stream("popular")), None);
    assert!(kept(&host.actions).is_empty());
}

/// Symptom: one host refuses what many callers ask for all day, and all others serve it.
/// Events: it has just started, and learns of four ends under that request before it has seen
/// one run; once it is barred there it never sees one. Cause: crashes are announced, and not that
/// the request ran since.
#[test]
fn a_host_that_bars_a_harmless_request_alone_learns_that_it_ran_elsewhere() {
    let mut others: Vec<Host> = (1..5).map(Host::new).collect();
    let mut started = Host::new(0);
    for (number, other) in others.iter_mut().enumerate() {
        other.read_directory(only_engine(number % 3), &[]);
        crash(other, stream("popular"));
        for (note, _) in advertised(&other.actions) {
            started.handle(Event::CrashesReceived(note));
        }
        other.actions.clear();
    }
    assert!(refusal(&mut started, stream("popular")).is_some());
    let other = &mut others[0];
    other.pass(500);
    let (request, order) = send(other, stream("popular"));
    other.finish(&order, request);
    other.pass(1_000);
    started.pass(1_500);
    for (note, _) in advertised(&other.actions) {
        started.handle(Event::CrashesReceived(note));
    }
    assert_eq!(refusal(&mut started, stream("popular")), None);
}

fn kept(actions: &[Action]) -> Vec<Vec<peer::Crash>> {
    let kept = actions.iter().filter_map(|action| match action {
        Action::StoreCrashes(crashes) => Some(crashes.clone()),
        _ => None,
    });
    kept.collect()
}

/// Symptom: each crash costs a call to the store from each host that had a request there.
/// Events: an upstream ends under many requests, once. Cause: all of them are kept.
///
/// From the second crash of one request on, each is kept once, by the host that saw it.
#[test]
fn crashes_are_kept_in_the_store_once_a_request_has_two() {
    let mut host = Host::new(0);
    host.read_directory(engines(20), &[]);
    let first = crash(&mut host, fatal());
    crash(&mut host, stream("harmless"));
    assert!(kept(&host.actions).is_empty());
    let second = crash(&mut host, fatal());
    let names = |crashes: &[peer::Crash]| -> BTreeSet<UpstreamId> {
        crashes.iter().map(|crash| crash.upstream.clone()).collect()
    };
    let all = kept(&host.actions);
    assert_eq!(all.len(), 1);
    assert_eq!(names(&all[0]), BTreeSet::from([first, second]));
    let third = crash(&mut host, fatal());
    let all = kept(&host.actions);
    assert_eq!(all.len(), 2);
    assert_eq!(names(&all[1]), BTreeSet::from([third]));
}

/// Symptom: hosts of another failure domain go on sending a barred request. Events: domains
/// are cut off from each other, and all reach the store. Cause: only datagrams tell of it.
#[test]
fn a_host_that_nobody_notified_learns_from_the_store() {
    let mut seeing = Host::new(0);
    seeing.read_directory(engines(20), &[]);
    for _ in 0..3 {
        crash(&mut seeing, fatal());
    }
    let listed: Vec<peer::Crash> = kept(&seeing.actions).concat();
    let mut other = Host::new(1);
    other.handle(Event::CrashesListed(listed.clone()));
    assert!(refusal(&mut other, fatal()).is_some());
    // What it was notified of is neither announced nor kept by it again.
    other.pass(2_000);
    assert!(advertised(&other.actions).is_empty() && kept(&other.actions).is_empty());
    // An upstream that is listed long after its supposed end had not ended.
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
    assert_eq!(refusal(&mut late, fatal()), None);
}
