//! Notices that upstreams send in their answers: that they are leaving, and that they ask for a
//! backoff.

use {
    crate::{
        fleet::{Fleet, replica},
        support::{Host, TestRequest, lookup, refused, sent, upstreams},
    },
    policy::{Action, Event, NoticeSource, RefusalReason, SendOrder},
    std::{collections::BTreeMap, time::Duration},
    types::{AdvertisedBackoff, prelude::*},
};

/// Time after a leaving notice from which the upstream gets no more requests. This is the
/// strictest bound that an installation may set.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

fn receive_notice(host: &mut Host, upstream: &str, notice: UpstreamNotice) -> Vec<Action> {
    let sent = host.now;
    host.handle(Event::NoticeAnswered {
        notice,
        sent,
        upstream: upstream.parse().unwrap(),
    })
}

/// Lets time pass while the configuration is confirmed to be the newest.
fn pass_with_confirmed_configuration(host: &mut Host, ms: u64) {
    host.advance(ms);
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
}

/// Counts the actions that announce leaving upstreams to other hosts.
fn count_leaving_announcements(actions: &[Action]) -> usize {
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

/// Sends a call every 20 ms for `span`, finishes each at once, and counts the calls by upstream.
fn calls_by_upstream(host: &mut Host, span: Duration) -> BTreeMap<String, usize> {
    let end = host.now + span;
    let mut counts = BTreeMap::new();
    while host.now < end {
        pass_with_confirmed_configuration(host, 20);
        let (request, actions) = host.ask(lookup());
        if let Some(order) = sent(&actions) {
            *counts.entry(order.upstream.to_string()).or_default() += 1;
            host.finish(&order, request);
        }
    }
    counts
}

/// Guards against requests to a leaving upstream if only its answers say that it leaves.
#[test]
fn an_upstream_that_announces_leaving_in_an_answer_gets_no_more_requests() {
    let mut host = Host::new(0);
    host.handle(Event::DirectoryLost);
    receive_notice(&mut host, "shop-0", leaving());
    host.advance(DRAIN_LIMIT.as_millis() as u64);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(10));
    assert_eq!(counts.get("shop-0"), None, "{counts:?}");
}

/// Guards against treating a leaving upstream as a new one when its directory entry lapses and
/// returns.
#[test]
fn a_leaving_upstream_stays_leaving_when_its_entry_returns() {
    let mut host = Host::new(0);
    receive_notice(&mut host, "shop-0", leaving());
    let mut others = upstreams();
    others.remove(&"shop-0".parse().unwrap());
    host.read_directory(others, &[]);
    host.advance(3_000);
    host.read_directory(upstreams(), &[]);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(2));
    assert_eq!(counts.get("shop-0"), None, "{counts:?}");
}

/// Guards against an older copy of the directory that cancels the leaving state.
#[test]
fn an_upstream_that_was_listed_as_leaving_stays_leaving() {
    let mut host = Host::new(0);
    host.read_directory(upstreams(), &["shop-0"]);
    host.read_directory(upstreams(), &[]);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(2));
    assert_eq!(counts.get("shop-0"), None, "{counts:?}");
}

#[test]
fn a_notice_that_arrives_before_the_directory_entry_counts() {
    let mut host = Host::new(0);
    let mut others = upstreams();
    let definition = others.remove(&"shop-0".parse().unwrap()).unwrap();
    host.read_directory(others.clone(), &[]);
    receive_notice(&mut host, "shop-0", leaving());
    others.insert("shop-0".parse().unwrap(), definition);
    host.read_directory(others, &[]);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(2));
    assert_eq!(counts.get("shop-0"), None, "{counts:?}");
}

#[test]
fn the_next_incarnation_of_a_leaving_upstream_gets_requests() {
    let mut host = Host::new(0);
    receive_notice(&mut host, "shop-0", leaving());
    let mut listed = upstreams();
    let definition = listed.remove(&"shop-0".parse().unwrap()).unwrap();
    let next = "shop-0@2".parse::<UpstreamId>().unwrap();
    listed.insert(next, definition);
    host.read_directory(listed, &[]);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(2));
    assert!(counts.contains_key("shop-0@2"), "{counts:?}");
}

/// Guards against retries to a leaving upstream if only first attempts avoid it.
#[test]
fn retries_and_resumed_streams_avoid_a_leaving_upstream() {
    for number in 0..20 {
        let mut host = Host::new(number);
        receive_notice(&mut host, "shop-0", leaving());
        receive_notice(&mut host, "engine-0", leaving());
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

/// Guards against sending a queued request by the state that was known when the request arrived.
#[test]
fn a_queued_request_is_not_sent_to_an_upstream_that_starts_leaving() {
    let mut host = Host::new(0);
    for upstream in ["shop-1", "shop-2"] {
        receive_notice(&mut host, upstream, leaving());
    }
    let orders: Vec<(SendOrder, RequestId)> = (0..6)
        .map(|_| {
            let (request, actions) = host.ask(lookup());
            (sent(&actions).unwrap(), request)
        })
        .collect();
    let (_, actions) = host.ask(lookup());
    assert_eq!(sent(&actions), None, "all slots are taken");
    receive_notice(&mut host, "shop-0", leaving());
    let (order, request) = &orders[0];
    host.actions.clear();
    host.finish(order, *request);
    host.advance(100);
    assert_eq!(sent(&host.actions), None);
}

/// Guards against callers that wait until their deadline while all upstreams are leaving.
#[test]
fn requests_are_refused_at_their_first_token_target_while_all_upstreams_leave() {
    let mut host = Host::new(0);
    host.handle(Event::DirectoryLost);
    for upstream in ["shop-0", "shop-1", "shop-2"] {
        receive_notice(&mut host, upstream, leaving());
    }
    let (_, actions) = host.ask(lookup());
    assert_eq!(sent(&actions), None);
    // The first token of this class is due after 500 ms.
    host.advance(480);
    assert_eq!(refused(&host.actions), None);
    host.advance(40);
    let refusal = refused(&host.actions).unwrap();
    assert_eq!(refusal.reason, RefusalReason::NoUpstream);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after >= Some(Duration::from_secs(1)));
    assert_eq!(sent(&host.actions), None);
}

/// Guards against refusing a request although an upstream is listed shortly after the last one
/// left.
#[test]
fn a_queued_request_goes_to_an_upstream_that_is_listed_after_all_others_left() {
    let mut host = Host::new(0);
    for upstream in ["shop-0", "shop-1", "shop-2"] {
        receive_notice(&mut host, upstream, leaving());
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
fn other_hosts_are_notified_at_once_while_the_directory_is_unavailable() {
    let mut host = Host::new(0);
    host.handle(Event::DirectoryLost);
    let actions = receive_notice(&mut host, "shop-0", leaving());
    let notice = actions.iter().find_map(|action| match action {
        Action::NoteLeaving(notice) => Some(notice.clone()),
        _ => None,
    });
    assert_eq!(notice.unwrap().source, NoticeSource::Own);
    host.actions.clear();
    host.advance(10);
    assert_eq!(count_leaving_announcements(&host.actions), 1);
    host.advance(2_000);
    assert_eq!(count_leaving_announcements(&host.actions), 3);
    let actions = receive_notice(&mut host, "shop-0", leaving());
    assert!(
        actions.is_empty(),
        "a repeated notice is not announced again"
    );
}

#[test]
fn other_hosts_are_not_notified_of_a_leaving_upstream_that_the_directory_lists() {
    let mut host = Host::new(0);
    host.actions.clear();
    receive_notice(&mut host, "shop-0", leaving());
    host.advance(500);
    host.read_directory(upstreams(), &["shop-0"]);
    host.advance(3_000);
    assert_eq!(count_leaving_announcements(&host.actions), 0);
}

/// Guards against each host learning that an upstream leaves only by a request of its own.
#[test]
fn a_leaving_notice_to_one_host_applies_to_all_hosts() {
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
        // The host that received the notice repeats it twice; the rest are the usual notes.
        let datagrams_per_host = (fleet.datagrams - datagrams) as f64 / hosts as f64;
        println!("{hosts} hosts: {datagrams_per_host} datagrams per host in 3 s");
    }
}

/// Guards against requests to a leaving upstream from hosts that no notice of another host
/// reaches.
#[test]
fn a_leaving_notice_applies_to_each_host_that_receives_it_though_datagrams_are_lost() {
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

/// Guards against requests to an upstream that refused a request and asked for a backoff.
#[test]
fn an_upstream_that_asks_for_a_backoff_gets_nothing_until_its_end() {
    let mut host = Host::new(0);
    receive_notice(&mut host, "shop-0", backoff(3_000));
    let counts = calls_by_upstream(&mut host, Duration::from_secs(3));
    assert_eq!(counts.get("shop-0"), None, "{counts:?}");
}

/// Guards against a later refusal with a shorter backoff, or none, that shortens a backoff.
#[test]
fn the_longest_backoff_counts() {
    let mut host = Host::new(0);
    receive_notice(&mut host, "shop-0", backoff(3_000));
    receive_notice(&mut host, "shop-0", backoff(1_000));
    receive_notice(&mut host, "shop-0", UpstreamNotice::default());
    let counts = calls_by_upstream(&mut host, Duration::from_secs(3));
    assert_eq!(counts.get("shop-0"), None, "{counts:?}");
}

/// Guards against ending a backoff when the directory entry lapses and returns.
#[test]
fn a_backoff_survives_a_directory_entry_that_lapses_and_returns() {
    let mut host = Host::new(0);
    receive_notice(&mut host, "shop-0", backoff(3_000));
    let mut others = upstreams();
    others.remove(&"shop-0".parse().unwrap());
    host.read_directory(others, &[]);
    host.read_directory(upstreams(), &[]);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(3));
    assert_eq!(counts.get("shop-0"), None, "{counts:?}");
}

#[test]
fn an_upstream_is_used_again_after_its_backoff() {
    let mut host = Host::new(0);
    receive_notice(&mut host, "shop-0", backoff(1_000));
    pass_with_confirmed_configuration(&mut host, 1_250);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(1));
    assert!(counts["shop-0"] > 5, "{counts:?}");
}

/// Guards against excluding an upstream forever that sent a huge backoff by mistake.
#[test]
fn a_backoff_of_days_ends_after_five_minutes() {
    let mut host = Host::new(0);
    receive_notice(&mut host, "shop-0", backoff(7 * 86_400_000));
    pass_with_confirmed_configuration(&mut host, 300_000);
    host.now = host.now + Duration::from_secs(75);
    let counts = calls_by_upstream(&mut host, Duration::from_secs(1));
    assert!(counts.contains_key("shop-0"), "{counts:?}");
}

#[test]
fn a_zero_or_invalid_backoff_changes_nothing() {
    let invalid = UpstreamNotice {
        backoff: AdvertisedBackoff::Invalid("soon".to_string()),
        ..UpstreamNotice::default()
    };
    for notice in [backoff(0), invalid] {
        let mut host = Host::new(0);
        receive_notice(&mut host, "shop-0", notice);
        let counts = calls_by_upstream(&mut host, Duration::from_secs(1));
        assert!(counts["shop-0"] > 5, "{counts:?}");
    }
}

/// Guards against counting a backoff as a failure, which would eject the upstream.
#[test]
fn upstreams_that_refuse_are_not_ejected() {
    let mut host = Host::new(0);
    for _ in 0..20 {
        let (request, actions) = host.ask(lookup());
        let Some(order) = sent(&actions) else {
            break;
        };
        let upstream = order.upstream.to_string();
        receive_notice(&mut host, &upstream, backoff(500));
        host.fail(&order, request, FailureCause::Busy, Verdict::NotRun, false);
        pass_with_confirmed_configuration(&mut host, 300);
    }
    assert!(host.controller.ejected().is_empty());
}

/// Guards against callers that wait for a backoff that ends after their deadline.
#[test]
fn a_request_is_refused_at_once_where_all_backoffs_end_too_late() {
    let mut host = Host::new(0);
    for upstream in ["shop-0", "shop-1", "shop-2"] {
        receive_notice(&mut host, upstream, backoff(20_000));
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
        receive_notice(&mut host, upstream, backoff(2_000));
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

/// Guards against sending the whole queue at once to an upstream whose backoff has just ended.
#[test]
fn after_a_backoff_one_request_at_a_time_is_sent_until_one_is_accepted() {
    let mut host = Host::new(0);
    for upstream in ["shop-0", "shop-1", "shop-2"] {
        receive_notice(
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

/// Guards against a probe to an ejected upstream during its backoff.
#[test]
fn an_upstream_is_not_probed_during_its_backoff() {
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
    receive_notice(&mut host, "shop-0", backoff(3_000));
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

/// Guards against hosts that send a request before their backoff ends, counted where requests
/// arrive.
#[test]
fn refusing_upstreams_get_no_requests_during_a_backoff() {
    for (hosts, per_s) in [(6, 60.0), (66, 300.0), (381, 600.0)] {
        let mut fleet = Fleet::new(hosts, 4, 1);
        let load = [("lookup", per_s)];
        fleet.advance(Duration::from_millis(500), &load);
        fleet.refusing.insert(replica(0), Duration::from_secs(2));
        fleet.advance(Duration::from_secs(3), &load);
        assert_eq!(fleet.max_requests_in_backoff(), 0, "{hosts} hosts");
        // A retry at another replica needs a token of the retry budget, and each of many hosts has
        // only a small part of this budget. Requests that are not refused must not be delayed.
        let counts = fleet.counts_of("lookup");
        assert!(
            counts.refused * 100 <= counts.sent,
            "{hosts} hosts: {}",
            counts.refused
        );
        let delayed = counts
            .response_times
            .iter()
            .filter(|lasted| lasted.as_millis() > 100);
        assert_eq!(delayed.count(), 0, "{hosts} hosts");
    }
}

/// Guards against a burst of requests when hosts that were refused at the same time retry at the
/// same time.
#[test]
fn hosts_that_were_refused_together_do_not_retry_together() {
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
    let busiest_100_ms = (0..29)
        .map(|step| arrived(step * 100 + 1..step * 100 + 101))
        .max();
    assert!(
        busiest_100_ms.unwrap() < HOSTS / 3,
        "{busiest_100_ms:?} requests within 100 ms"
    );
}
