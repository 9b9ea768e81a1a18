//! What upstreams say of themselves in their answers: that they leave, and that they want
//! nothing for a while.

use {
    crate::{
        fleet::{Fleet, replica},
        support::{Host, TestRequest, lookup, refused, sent, upstreams},
    },
    policy::{Action, Event, NoticeSource, RefusalReason, SendOrder},
    std::{collections::BTreeMap, time::Duration},
    types::{AdvertisedBackoff, prelude::*},
};

/// Time after an answer's word of leaving from which an upstream gets nothing more, by the
/// installations' strictest bound.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

fn says(host: &mut Host, upstream: &str, notice: UpstreamNotice) -> Vec<Action> {
    let sent = host.now;
    host.handle(Event::NoticeAnswered {
        notice,
        sent,
        upstream: upstream.parse().unwrap(),
    })
}

/// Lets time pass while the configuration is known to be the newest.
fn pass_in_touch(host: &mut Host, ms: u64) {
    host.advance(ms);
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
}

/// How often some actions announce to others that upstreams leave.
fn announced_leaving(actions: &[Action]) -> usize {
    let announced = actions.iter().filter(
        |action| matches!(action, Action::SendUpstreamNote { note, .. } if !note.leaving.is_empty()),
    );
    announced.count()
}

fn leaving() -> UpstreamNotice {
    UpstreamNotice {
        leaving: true,
        ..UpstreamNotice::default()
    }
}

fn backoff(ms: u64) -> UpstreamNotice {
    UpstreamNotice {
        backoff: AdvertisedBackoff::Valid(Duration::from_millis(ms)),
        ..UpstreamNotice::default()
    }
}

/// Sends a call every 20 ms for a span, each answered at once, and counts where they went.
fn calls_by_upstream(host: &mut Host, span: Duration) -> BTreeMap<String, usize> {
    let end = host.now + span;
    let mut counts = BTreeMap::new();
    while host.now < end {
        pass_in_touch(host, 20);
        let (request, actions) = host.ask(lookup());
        if let Some(order) = sent(&actions) {
            *counts.entry(order.upstream.to_string()).or_default() += 1;
            host.finish(&order, request);
        }
    }
    counts
}

/// Guards against requests to an upstream that leaves, where only its answers tell.
#[test]
fn an_upstream_that_says_in_an_answer_that_it_leaves_gets_nothing_more() {
    let mut host = Host::new(0);
    host.handle(Event::DirectoryLost);
    says(&mut host, "shop-0", leaving());
    host.advance(DRAIN_LIMIT.as_millis() as u64);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(10));
    assert_eq!(counts.get("shop-0"), None, "{counts:?}");
}

/// Guards against an entry that lapses and returns, and so makes a leaving upstream a new one.
#[test]
fn an_upstream_goes_on_leaving_when_its_entry_returns() {
    let mut host = Host::new(0);
    says(&mut host, "shop-0", leaving());
    let mut without = upstreams();
    without.remove(&"shop-0".parse().unwrap());
    host.read_directory(without, &[]);
    host.advance(3_000);
    host.read_directory(upstreams(), &[]);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(2));
    assert_eq!(counts.get("shop-0"), None, "{counts:?}");
}

/// Guards against an older copy of the directory that takes a leaving back.
#[test]
fn an_upstream_that_was_listed_as_leaving_goes_on_leaving() {
    let mut host = Host::new(0);
    host.read_directory(upstreams(), &["shop-0"]);
    host.read_directory(upstreams(), &[]);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(2));
    assert_eq!(counts.get("shop-0"), None, "{counts:?}");
}

#[test]
fn a_word_that_comes_before_the_entry_counts() {
    let mut host = Host::new(0);
    let mut without = upstreams();
    let late = without.remove(&"shop-0".parse().unwrap()).unwrap();
    host.read_directory(without.clone(), &[]);
    says(&mut host, "shop-0", leaving());
    without.insert("shop-0".parse().unwrap(), late);
    host.read_directory(without, &[]);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(2));
    assert_eq!(counts.get("shop-0"), None, "{counts:?}");
}

#[test]
fn the_next_incarnation_of_a_leaving_upstream_gets_requests() {
    let mut host = Host::new(0);
    says(&mut host, "shop-0", leaving());
    let mut again = upstreams();
    let definition = again.remove(&"shop-0".parse().unwrap()).unwrap();
    let next = "shop-0@2".parse::<UpstreamId>().unwrap();
    again.insert(next, definition);
    host.read_directory(again, &[]);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(2));
    assert!(counts.contains_key("shop-0@2"), "{counts:?}");
}

/// Guards against a repeated request that goes where only first attempts are kept away.
#[test]
fn repeated_requests_and_moved_streams_avoid_an_upstream_that_leaves() {
    for number in 0..20 {
        let mut host = Host::new(number);
        says(&mut host, "shop-0", leaving());
        says(&mut host, "engine-0", leaving());
        let (request, actions) = host.ask(lookup());
        let first = sent(&actions).unwrap();
        let actions = host.fail(&first, request, FailureCause::Busy, Verdict::NotRun, false);
        let second = sent(&actions).unwrap();
        assert_ne!(second.upstream.to_string(), "shop-0");

        let stream = TestRequest::prompt("draft", "first-key", &[(1, 500), (number + 7, 100)]);
        let (request, actions) = host.ask(stream);
        let first = sent(&actions).unwrap();
        host.handle(Event::Progressed {
            attempt: first.attempt,
            longest_pause: Duration::ZERO,
            request,
            tokens: Tokens::new(3),
        });
        let actions = host.fail(
            &first,
            request,
            FailureCause::Reset,
            Verdict::MayHaveRun,
            true,
        );
        let moved = sent(&actions).unwrap();
        assert_ne!(moved.upstream.to_string(), "engine-0");
    }
}

/// Guards against a queued request that is sent by what was known when it came.
#[test]
fn a_request_that_waits_does_not_go_to_an_upstream_that_leaves_meanwhile() {
    let mut host = Host::new(0);
    for upstream in ["shop-1", "shop-2"] {
        says(&mut host, upstream, leaving());
    }
    let orders: Vec<(SendOrder, RequestId)> = (0..6)
        .map(|_| {
            let (request, actions) = host.ask(lookup());
            (sent(&actions).unwrap(), request)
        })
        .collect();
    let (_, actions) = host.ask(lookup());
    assert_eq!(sent(&actions), None, "all slots are taken");
    says(&mut host, "shop-0", leaving());
    let (order, request) = &orders[0];
    host.actions.clear();
    host.finish(order, *request);
    host.advance(100);
    assert_eq!(sent(&host.actions), None);
}

/// Guards against callers who wait until their deadline for upstreams that all leave.
#[test]
fn requests_are_refused_when_due_while_all_their_upstreams_leave() {
    let mut host = Host::new(0);
    host.handle(Event::DirectoryLost);
    for upstream in ["shop-0", "shop-1", "shop-2"] {
        says(&mut host, upstream, leaving());
    }
    let (_, actions) = host.ask(lookup());
    assert_eq!(sent(&actions), None);
    // The class's first token is due after half a second.
    host.advance(480);
    assert_eq!(refused(&host.actions), None);
    host.advance(40);
    let refusal = refused(&host.actions).unwrap();
    assert_eq!(refusal.reason, RefusalReason::NoUpstream);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after >= Some(Duration::from_secs(1)));
    assert_eq!(sent(&host.actions), None);
}

/// Guards against refusals where an upstream is listed a moment after the last one left.
#[test]
fn a_request_whose_upstreams_all_left_goes_to_one_that_is_listed_then() {
    let mut host = Host::new(0);
    for upstream in ["shop-0", "shop-1", "shop-2"] {
        says(&mut host, upstream, leaving());
    }
    host.ask(lookup());
    host.advance(300);
    let mut listed = upstreams();
    let definition = listed[&"shop-0".parse().unwrap()].clone();
    listed.insert("shop-9".parse().unwrap(), definition);
    host.actions.clear();
    host.read_directory(listed, &[]);
    let order = sent(&host.actions).unwrap();
    assert_eq!(order.upstream.to_string(), "shop-9");
}

#[test]
fn other_hosts_are_notified_at_once_while_the_directory_is_away() {
    let mut host = Host::new(0);
    host.handle(Event::DirectoryLost);
    let actions = says(&mut host, "shop-0", leaving());
    let noted = actions.iter().find_map(|action| match action {
        Action::NoteLeaving(noted) => Some(noted.clone()),
        _ => None,
    });
    assert_eq!(noted.unwrap().source, NoticeSource::Own);
    host.actions.clear();
    host.advance(10);
    assert_eq!(announced_leaving(&host.actions), 1);
    host.advance(2_000);
    assert_eq!(announced_leaving(&host.actions), 3);
    let actions = says(&mut host, "shop-0", leaving());
    assert!(actions.is_empty(), "the same word is no news");
}

#[test]
fn other_hosts_read_a_leaving_in_the_directory_where_it_lists_it() {
    let mut host = Host::new(0);
    host.actions.clear();
    says(&mut host, "shop-0", leaving());
    host.advance(500);
    host.read_directory(upstreams(), &["shop-0"]);
    host.advance(3_000);
    assert_eq!(announced_leaving(&host.actions), 0);
}

/// Guards against hosts that each learn of a leaving by a request of their own.
#[test]
fn a_leaving_that_one_host_learns_of_binds_all() {
    for hosts in [6, 66, 195] {
        let mut fleet = Fleet::new(hosts, 4, 1);
        for host in 0..hosts {
            fleet.hosts[host].handle(Event::DirectoryLost);
        }
        let load = [("lookup", 60.0)];
        fleet.advance(Duration::from_secs(1), &load);
        fleet.leaving.insert(replica(0));
        fleet.advance(Duration::from_millis(500), &load);
        let from = fleet.now;
        let datagrams = fleet.datagrams;
        fleet.advance(Duration::from_secs(3), &load);
        assert_eq!(fleet.requests_since(&replica(0), from), 0, "{hosts} hosts");
        assert_eq!(
            fleet.requests_after_leaving_notice(&replica(0), Duration::ZERO),
            0
        );
        let counts = fleet.counts_of("lookup");
        assert_eq!(counts.refused, 0, "{hosts} hosts");
        // Two more times by the host that was notified first, and the usual notes.
        let each = (fleet.datagrams - datagrams) as f64 / hosts as f64;
        println!("{hosts} hosts: {each} datagrams each in 3 s");
    }
}

/// Guards against requests of hosts that another one's word does not reach.
#[test]
fn a_leaving_binds_each_host_that_was_notified_itself_though_datagrams_are_lost() {
    let mut fleet = Fleet::new(20, 4, 3);
    fleet.datagram_loss = 1.0;
    let load = [("lookup", 200.0)];
    fleet.advance(Duration::from_secs(1), &load);
    fleet.leaving.insert(replica(0));
    fleet.advance(Duration::from_secs(4), &load);
    assert_eq!(
        fleet.requests_after_leaving_notice(&replica(0), Duration::ZERO),
        0
    );
    assert_eq!(fleet.counts_of("lookup").refused, 0);
}

/// Guards against requests to an upstream that has refused one and wants nothing for a while.
#[test]
fn an_upstream_that_asks_for_a_backoff_gets_nothing_until_its_end() {
    let mut host = Host::new(0);
    says(&mut host, "shop-0", backoff(3_000));
    let counts = calls_by_upstream(&mut host, Duration::from_secs(3));
    assert_eq!(counts.get("shop-0"), None, "{counts:?}");
}

/// Guards against a pause that a refusal makes shorter which names a shorter one, or none.
#[test]
fn the_longest_backoff_counts() {
    let mut host = Host::new(0);
    says(&mut host, "shop-0", backoff(3_000));
    says(&mut host, "shop-0", backoff(1_000));
    says(&mut host, "shop-0", UpstreamNotice::default());
    let counts = calls_by_upstream(&mut host, Duration::from_secs(3));
    assert_eq!(counts.get("shop-0"), None, "{counts:?}");
}

/// Guards against an entry that lapses and returns, and so ends a backoff.
#[test]
fn a_backoff_outlives_an_entry_that_returns() {
    let mut host = Host::new(0);
    says(&mut host, "shop-0", backoff(3_000));
    let mut without = upstreams();
    without.remove(&"shop-0".parse().unwrap());
    host.read_directory(without, &[]);
    host.read_directory(upstreams(), &[]);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(3));
    assert_eq!(counts.get("shop-0"), None, "{counts:?}");
}

#[test]
fn an_upstream_is_used_again_after_its_backoff() {
    let mut host = Host::new(0);
    says(&mut host, "shop-0", backoff(1_000));
    pass_in_touch(&mut host, 1_250);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(1));
    assert!(counts["shop-0"] > 5, "{counts:?}");
}

/// Guards against an upstream that is shut out for ever, as it named a huge number by mistake.
#[test]
fn a_backoff_of_days_ends_after_five_minutes() {
    let mut host = Host::new(0);
    says(&mut host, "shop-0", backoff(7 * 86_400_000));
    pass_in_touch(&mut host, 300_000);
    host.now = host.now + Duration::from_secs(75);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(1));
    assert!(counts.contains_key("shop-0"), "{counts:?}");
}

#[test]
fn a_backoff_of_no_time_or_no_number_changes_nothing() {
    let invalid = UpstreamNotice {
        backoff: AdvertisedBackoff::Invalid("soon".to_string()),
        ..UpstreamNotice::default()
    };
    for notice in [backoff(0), invalid] {
        let mut host = Host::new(0);
        says(&mut host, "shop-0", notice);
        let counts = calls_by_upstream(&mut host, Duration::from_secs(1));
        assert!(counts["shop-0"] > 5, "{counts:?}");
    }
}

/// Guards against a backoff that is taken for a failure, so that the upstream is ejected.
#[test]
fn upstreams_that_refuse_are_not_ejected() {
    let mut host = Host::new(0);
    for _ in 0..20 {
        let (request, actions) = host.ask(lookup());
        let Some(order) = sent(&actions) else {
            break;
        };
        let upstream = order.upstream.to_string();
        says(&mut host, &upstream, backoff(500));
        host.fail(&order, request, FailureCause::Busy, Verdict::NotRun, false);
        pass_in_touch(&mut host, 300);
    }
    assert!(host.controller.ejected().is_empty());
}

/// Guards against callers who wait for upstreams that want nothing until it is too late.
#[test]
fn a_request_is_refused_at_once_where_all_backoffs_end_too_late() {
    let mut host = Host::new(0);
    for upstream in ["shop-0", "shop-1", "shop-2"] {
        says(&mut host, upstream, backoff(20_000));
    }
    host.ask(lookup());
    host.actions.clear();
    host.advance(10);
    let refusal = refused(&host.actions).unwrap();
    assert_eq!(refusal.reason, RefusalReason::UpstreamBackoff);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after > Some(Duration::from_secs(19)));
}

#[test]
fn requests_wait_for_the_end_of_a_backoff_most_urgent_first() {
    let mut host = Host::new(0);
    for upstream in ["engine-0", "engine-1", "engine-2"] {
        says(&mut host, upstream, backoff(2_000));
    }
    let ask = |host: &mut Host, class| {
        let prompt = TestRequest::prompt(class, "shop-key", &[(1, 200), (2, 100)]);
        host.ask(prompt).0
    };
    let late = ask(&mut host, "summary");
    let urgent = ask(&mut host, "question");
    host.advance(1_990);
    assert_eq!(sent(&host.actions), None);
    assert_eq!(refused(&host.actions), None);
    host.advance(600);
    let sent: Vec<RequestId> = host.actions.iter().filter_map(sent_request).collect();
    assert_eq!(sent.first(), Some(&urgent));
    assert!(sent.contains(&late));
}

fn sent_request(action: &Action) -> Option<RequestId> {
    match action {
        Action::Send { request, .. } => Some(*request),
        _ => None,
    }
}

/// Guards against a queue that empties into an upstream that has just come back.
#[test]
fn after_a_backoff_one_request_at_a_time_is_sent_until_one_is_taken() {
    let mut host = Host::new(0);
    for upstream in ["shop-0", "shop-1", "shop-2"] {
        says(
            &mut host,
            upstream,
            backoff(if upstream == "shop-0" { 1_000 } else { 60_000 }),
        );
    }
    for _ in 0..4 {
        host.ask(lookup());
    }
    host.advance(1_260);
    let orders = |host: &Host| host.actions.iter().filter_map(sent_request).count();
    assert_eq!(orders(&host), 1);
    let order = sent(&host.actions).unwrap();
    let request = host.actions.iter().find_map(sent_request).unwrap();
    host.finish(&order, request);
    host.advance(10);
    assert_eq!(orders(&host), 4);
}

/// Guards against a probe that an upstream gets while it wants nothing.
#[test]
fn an_upstream_is_not_probed_while_it_wants_nothing() {
    let mut host = Host::new(0);
    let mut orders = Vec::new();
    for _ in 0..12 {
        let (request, actions) = host.ask(lookup());
        orders.push((sent(&actions).unwrap(), request));
    }
    for (order, request) in orders {
        if order.upstream.to_string() == "shop-0" {
            host.fail(
                &order,
                request,
                FailureCause::Reset,
                Verdict::MayHaveRun,
                false,
            );
        }
    }
    assert_eq!(host.controller.ejected().len(), 1);
    says(&mut host, "shop-0", backoff(3_000));
    host.actions.clear();
    host.advance(3_000);
    let probes = |host: &Host| {
        let probes = host.actions.iter();
        probes
            .filter(|action| matches!(action, Action::Probe { .. }))
            .count()
    };
    assert_eq!(probes(&host), 0);
    host.advance(800);
    assert_eq!(probes(&host), 1);
}

/// Guards against hosts that each send again before their backoff ends, counted where requests
/// arrive.
#[test]
fn refusing_upstreams_get_nothing_from_hosts_that_they_asked_for_a_backoff() {
    for (hosts, per_s) in [(6, 60.0), (66, 300.0), (381, 600.0)] {
        let mut fleet = Fleet::new(hosts, 4, 1);
        let load = [("lookup", per_s)];
        fleet.advance(Duration::from_millis(500), &load);
        fleet.refusing.insert(replica(0), Duration::from_secs(2));
        fleet.advance(Duration::from_secs(3), &load);
        assert_eq!(fleet.max_requests_in_backoff(), 0, "{hosts} hosts");
        // A repeat at another replica needs a token of the retry budget, of which each of many
        // hosts has a small part; who is not refused is never held up.
        let counts = fleet.counts_of("lookup");
        assert!(
            counts.refused * 100 <= counts.sent,
            "{hosts} hosts: {}",
            counts.refused
        );
        let held = counts
            .response_times
            .iter()
            .filter(|lasted| lasted.as_millis() > 100);
        assert_eq!(held.count(), 0, "{hosts} hosts");
    }
}

/// Guards against hosts that were refused together and return together.
#[test]
fn hosts_that_were_refused_together_do_not_return_together() {
    const HOSTS: usize = 195;
    let mut fleet = Fleet::new(HOSTS, 1, 1);
    fleet.refusing.insert(replica(0), Duration::from_secs(2));
    for host in 0..HOSTS {
        fleet.ask(host, "lookup");
    }
    fleet.advance(Duration::from_millis(100), &[]);
    assert_eq!(fleet.backoffs.len(), HOSTS);
    fleet.refusing.clear();
    let from = fleet.now;
    for host in 0..HOSTS {
        fleet.ask(host, "lookup");
    }
    fleet.advance(Duration::from_millis(3_000), &[]);
    let arrived = |span: std::ops::Range<u64>| {
        let times = fleet.received.iter().map(|request| request.at.since(from));
        times
            .filter(|at| span.contains(&(at.as_millis() as u64)))
            .count()
    };
    assert_eq!(arrived(1..3_000), HOSTS);
    let most = (0..29)
        .map(|step| arrived(step * 100 + 1..step * 100 + 101))
        .max();
    assert!(most.unwrap() < HOSTS / 3, "{most:?} in a tenth of a second");
}
