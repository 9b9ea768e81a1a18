//! Tests which requests and how much engine load a host reports to the coordinator.

use {
    crate::support::{Host, TestRequest, address, lookup, sent},
    peer::DutyNote,
    policy::{Action, Event, SendOrder},
    std::time::Duration,
    types::prelude::*,
};

/// Unix time in the tests, in milliseconds.
const UNIX_MS: u64 = 1_800_000_000_000;

/// Returns a host that knows the address of the coordinator.
fn counting_host() -> Host {
    let mut host = Host::new(0);
    host.handle(Event::TimeOfDay { unix_ms: UNIX_MS });
    let note = DutyNote {
        host: "host-1".parse().unwrap(),
        protocol: peer::PROTOCOL,
        reported_through: 0,
        token: 1,
        unix_ms: UNIX_MS,
    };
    let from = address(1);
    host.handle(Event::DutyAdvertised { from, note });
    host
}

/// Returns the number of requests that the host reports to the coordinator within a second.
fn reported_count(host: &mut Host) -> u32 {
    host.actions.clear();
    host.advance(1_000);
    let mut notes = host.actions.iter().filter_map(|action| match action {
        Action::SendUsageNote { note, to } => {
            assert_eq!(*to, Some(address(1)));
            Some(note.clone())
        }
        _ => None,
    });
    let counts = notes.next_back().unwrap().windows.into_iter();
    let counts = counts.flat_map(|window| window.counts);
    counts.map(|(_, count)| count).sum()
}

fn send(host: &mut Host, ask: TestRequest) -> (RequestId, SendOrder) {
    let (request, actions) = host.ask(ask);
    (request, sent(&actions).unwrap())
}

fn stream() -> TestRequest {
    TestRequest::prompt("question", "first-key", &[(7, 100)])
}

fn progress(host: &mut Host, request: RequestId, order: &SendOrder) {
    host.handle(Event::Progressed {
        attempt: order.attempt,
        longest_pause: Duration::ZERO,
        request,
        tokens: Tokens::new(1),
    });
}

#[test]
fn a_stream_is_counted_once_at_its_first_token() {
    let mut host = counting_host();
    let (request, order) = send(&mut host, stream());
    assert_eq!(reported_count(&mut host), 0);
    progress(&mut host, request, &order);
    progress(&mut host, request, &order);
    host.finish(&order, request);
    assert_eq!(reported_count(&mut host), 1);
}

#[test]
fn a_service_call_is_counted_when_it_completes() {
    let mut host = counting_host();
    let (request, order) = send(&mut host, lookup());
    host.finish(&order, request);
    assert_eq!(reported_count(&mut host), 1);
}

/// Guards against usage reports without the requests that an upstream started and ended with an
/// error.
#[test]
fn an_upstream_error_is_counted_but_a_failed_connection_is_not() {
    let mut host = counting_host();
    let (request, order) = send(&mut host, stream());
    let (cause, verdict) = (FailureCause::ErrorStatus, Verdict::Ran);
    host.fail(&order, request, cause, verdict, false);
    assert_eq!(reported_count(&mut host), 1);
    let (request, order) = send(&mut host, stream());
    let (cause, verdict) = (FailureCause::Connect, Verdict::NotRun);
    host.fail(&order, request, cause, verdict, false);
    host.handle(Event::CallerGone { request });
    assert_eq!(reported_count(&mut host), 1);
}

#[test]
fn requests_without_a_team_are_not_counted() {
    let mut host = counting_host();
    let (request, order) = send(&mut host, TestRequest::public_call("lookup"));
    host.finish(&order, request);
    assert_eq!(reported_count(&mut host), 0);
}

/// Guards against orders for upstreams that ignore the demand because the coordinator does not
/// receive the load of the engines.
#[test]
fn the_coordinator_receives_the_work_placed_on_engines() {
    let mut host = counting_host();
    let (request, order) = send(&mut host, stream());
    let take_work = |host: &mut Host| {
        host.actions.clear();
        host.advance(1_000);
        let mut works = host.actions.iter().filter_map(|action| match action {
            Action::SendUsageNote { note, .. } => Some(note.work.clone()),
            _ => None,
        });
        works.next_back().unwrap()
    };
    let waiting = take_work(&mut host);
    assert_eq!(waiting[0].model.as_str(), "pool");
    assert_eq!((waiting[0].in_flight, waiting[0].total_ms), (1, 1));
    assert_eq!(waiting[0].waiting_ms, 1);
    progress(&mut host, request, &order);
    host.finish(&order, request);
    let done = take_work(&mut host);
    assert_eq!((done[0].in_flight, done[0].total_ms), (0, 1));
    assert_eq!(done[0].waiting_ms, 0);
}
