//! Requests at a host that has been asked to stop: what can't end before the stop is refused before
//! it is sent, and what is still running at the end of the stop is abandoned.

use {
    crate::support::{Host, TestRequest, lookup, order, refused, sent},
    policy::{Action, Event, RefusalReason, SendOrder},
    std::time::Duration,
    types::prelude::*,
};

const DRAIN_MS: u64 = 4_000;

/// Duration of the requests that end before the stop begins.
const USUAL_MS: u64 = 1_000;

/// Duration of a short request.
const SHORT_MS: u64 = 50;

/// Number of requests that end before the stop begins.
const ENDED: usize = 8;

/// `Retry-After` that still leads a caller to another host in good time.
const SOON: Duration = Duration::from_millis(500);

/// Returns a host at which requests like `ask` usually take [`USUAL_MS`].
fn host_with_history(ask: fn() -> TestRequest) -> Host {
    let mut host = Host::new(1);
    for _ in 0..ENDED {
        let (id, actions) = host.ask(ask());
        pass(&mut host, USUAL_MS);
        host.finish(&sent(&actions).unwrap(), id);
    }
    host
}

/// Advances the clock of a host whose configuration stays confirmed.
fn pass(host: &mut Host, ms: u64) {
    let end = host.now.plus_ms(ms);
    while host.now < end {
        host.advance(50);
        let as_of = host.now;
        host.handle(Event::ConfigurationConfirmed { as_of });
    }
}

fn start_drain(host: &mut Host) -> Vec<Action> {
    let end = Some(host.now.plus_ms(DRAIN_MS));
    host.handle(Event::DrainStarted { end })
}

fn assert_promised(actions: &[Action]) {
    assert!(sent(actions).is_none());
    let refusal = refused(actions).unwrap();
    assert_eq!(refusal.reason, RefusalReason::Draining);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after.unwrap() <= SOON);
}

fn abandoned(actions: &[Action], order: &SendOrder) -> bool {
    actions.iter().any(
        |action| matches!(action, Action::Abandon { attempt, .. } if *attempt == order.attempt),
    )
}

/// Reports that an abandoned attempt ended.
fn end_abandoned(
    host: &mut Host,
    order: &SendOrder,
    id: RequestId,
    delivered: bool,
) -> Vec<Action> {
    let (cause, verdict) = (FailureCause::Silent, Verdict::MayHaveRun);
    host.fail(order, id, cause, verdict, delivered)
}

/// Guards against sending a request that can't end before the stop.
#[test]
fn sends_only_what_can_end_before_the_stop() {
    let mut host = host_with_history(order);
    start_drain(&mut host);
    pass(&mut host, DRAIN_MS - USUAL_MS - 100);
    let (_, actions) = host.ask(order());
    assert!(sent(&actions).is_some());
    pass(&mut host, 200);
    let (_, actions) = host.ask(order());
    assert_promised(&actions);
}

/// Guards against refusing a request whose own time limit ends before the stop.
#[test]
fn sends_a_request_whose_deadline_comes_first() {
    let mut host = host_with_history(order);
    start_drain(&mut host);
    pass(&mut host, DRAIN_MS - USUAL_MS / 2);
    let short = TestRequest {
        time_limit: Duration::from_millis(USUAL_MS / 4),
        ..order()
    };
    let (_, actions) = host.ask(short);
    assert!(sent(&actions).is_some());
}

/// Guards against refusing everything, or nothing, of a class whose durations are unknown.
#[test]
fn sends_a_request_of_unknown_duration_only_early() {
    let mut host = Host::new(1);
    start_drain(&mut host);
    pass(&mut host, DRAIN_MS / 4);
    let (_, actions) = host.ask(order());
    assert!(sent(&actions).is_some());
    pass(&mut host, DRAIN_MS / 2);
    let (_, actions) = host.ask(order());
    assert_promised(&actions);
}

/// Guards against requests that wait for a slot until the process ends.
#[test]
fn refuses_a_queued_request_once_it_cannot_end() {
    let mut host = host_with_history(order);
    let mut waiting = None;
    while waiting.is_none() {
        let (id, actions) = host.ask(order());
        waiting = sent(&actions).is_none().then_some(id);
    }
    assert!(refused(&start_drain(&mut host)).is_none());
    assert_eq!(host.controller.queued(), 1);
    pass(&mut host, DRAIN_MS - USUAL_MS - 100);
    assert_eq!(host.controller.queued(), 1);
    host.actions.clear();
    pass(&mut host, 200);
    assert_eq!(host.controller.queued(), 0);
    assert_promised(&host.actions);
}

/// Guards against looking only at the first request of a queue.
#[test]
fn refuses_a_request_that_waits_behind_one_that_can_end() {
    let short = || TestRequest::call("payment");
    let mut host = host_with_history(order);
    let (id, actions) = host.ask(short());
    pass(&mut host, SHORT_MS);
    host.finish(&sent(&actions).unwrap(), id);
    let mut ask_until_queued = |queued: usize, ask: &dyn Fn() -> TestRequest| {
        while host.controller.queued() < queued {
            host.ask(ask());
        }
    };
    ask_until_queued(1, &short);
    ask_until_queued(2, &order);
    start_drain(&mut host);
    host.actions.clear();
    pass(&mut host, DRAIN_MS - USUAL_MS / 2);
    assert_eq!(host.controller.queued(), 1);
    assert_promised(&host.actions);
}

/// Guards against a retry that is sent too late to end.
#[test]
fn does_not_retry_what_cannot_end() {
    for (after_ms, is_retried) in [(0, true), (DRAIN_MS - USUAL_MS / 2, false)] {
        let mut host = host_with_history(lookup);
        start_drain(&mut host);
        let (id, actions) = host.ask(lookup());
        let first = sent(&actions).unwrap();
        pass(&mut host, after_ms);
        let (cause, verdict) = (FailureCause::Busy, Verdict::NotRun);
        let actions = host.fail(&first, id, cause, verdict, false);
        if is_retried {
            assert!(sent(&actions).is_some());
        } else {
            assert_promised(&actions);
        }
    }
}

/// Guards against a request that may have run and gets no answer, or a promise that it did not.
#[test]
fn fails_what_is_still_running_at_the_end() {
    for ask in [order, lookup] {
        let mut host = Host::new(1);
        let (id, actions) = host.ask(ask());
        let running = sent(&actions).unwrap();
        start_drain(&mut host);
        host.actions.clear();
        pass(&mut host, DRAIN_MS - 100);
        assert!(!abandoned(&host.actions, &running));
        pass(&mut host, 200);
        assert!(abandoned(&host.actions, &running));
        host.actions.clear();
        let actions = end_abandoned(&mut host, &running, id, false);
        assert!(sent(&actions).is_none());
        let refusal = refused(&actions).unwrap();
        assert_eq!(refusal.verdict, Verdict::MayHaveRun);
        let blames = |action: &Action| {
            matches!(
                action,
                Action::CheckListening { .. }
                    | Action::NoteCrash(_)
                    | Action::SendCrashNote { .. }
                    | Action::StoreCrashes(_)
            )
        };
        pass(&mut host, 1_000);
        assert!(!host.actions.iter().any(blames));
    }
}

/// Guards against moving a stream to another upstream when the host is about to end.
#[test]
fn breaks_off_a_stream_that_still_runs_at_the_end() {
    let mut host = Host::new(1);
    let (id, actions) = host.ask(TestRequest::prompt("draft", "first-key", &[(1, 100)]));
    let running = sent(&actions).unwrap();
    start_drain(&mut host);
    pass(&mut host, DRAIN_MS + 100);
    let actions = end_abandoned(&mut host, &running, id, true);
    assert!(sent(&actions).is_none());
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::FailStream { .. }))
    );
}

/// Guards against refusals by a host without a drain limit.
#[test]
fn a_host_without_a_limit_sends_everything() {
    let mut host = host_with_history(order);
    host.handle(Event::DrainStarted { end: None });
    pass(&mut host, DRAIN_MS / 2);
    let (_, actions) = host.ask(order());
    assert!(sent(&actions).is_some());
}
