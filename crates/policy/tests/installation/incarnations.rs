//! Upstreams that restart under their name: the state recorded for the earlier incarnation does not
//! apply to the new one.

use {
    crate::support::{Host, TestRequest, address, exchange_notes, sent, upstreams},
    config::Upstream,
    peer::PromptRead,
    policy::Event,
    std::collections::BTreeMap,
    types::prelude::*,
};

const DOCUMENT_TOKENS: u32 = 13_300;
const UNIQUE_TOKENS: u32 = 400;

fn prompt() -> TestRequest {
    let parts = [(7, DOCUMENT_TOKENS), (8, UNIQUE_TOKENS)];
    TestRequest::prompt("draft", "shop-key", &parts)
}

/// Returns the upstreams, one of them restarted at `started_ms`.
fn with_restarted(id: &UpstreamId, started_ms: u64) -> BTreeMap<UpstreamId, Upstream> {
    let mut upstreams = upstreams();
    let upstream = upstreams.remove(&id.clone().with_started_ms(None)).unwrap();
    upstreams.insert(id.clone().with_started_ms(Some(started_ms)), upstream);
    upstreams
}

/// Guards against a late request that its host expects to need no prefill: an engine caches a
/// document, crashes and restarts at once, so that its directory entry never disappears, and cached
/// prompts are recorded by name only.
#[test]
fn a_restarted_engine_has_an_empty_prompt_cache() {
    let mut host = Host::new(0);
    let first = sent(&host.ask(prompt()).1).unwrap();
    host.read_directory(with_restarted(&first.upstream, 5_000), &[]);
    let second = sent(&host.ask(prompt()).1).unwrap();
    let whole = Tokens::new(DOCUMENT_TOKENS + UNIQUE_TOKENS);
    assert_eq!(second.inputs.prefill_tokens, whole);
    assert_eq!(second.inputs.backlog, u64::from(whole.get()));
    assert_eq!(second.inputs.in_flight, 1);
}

/// Guards against an engine that appears busier than it is: requests run on it when it crashes and
/// end only after its restart, and their end is counted for the new incarnation.
#[test]
fn earlier_requests_do_not_count_for_the_new_incarnation() {
    let mut host = Host::new(0);
    let (request, actions) = host.ask(prompt());
    let before = sent(&actions).unwrap();
    let restarted = before.upstream.clone().with_started_ms(Some(5_000));
    host.read_directory(with_restarted(&before.upstream, 5_000), &[]);
    assert_eq!(host.controller.in_flight(&restarted), Some(0));
    host.fail(
        &before,
        request,
        FailureCause::Reset,
        Verdict::MayHaveRun,
        false,
    );
    let running: u32 = upstreams()
        .keys()
        .chain([&restarted])
        .filter_map(|id| host.controller.in_flight(id))
        .sum();
    assert_eq!(running, 1, "the second attempt alone");
}

/// Guards against avoiding a healthy upstream: it fails three times, crashes and restarts, and
/// failures are recorded by name only.
#[test]
fn earlier_failures_do_not_eject_the_new_incarnation() {
    let mut host = Host::new(0);
    for _ in 0..12 {
        let (request, actions) = host.ask(crate::support::order());
        let order = sent(&actions).unwrap();
        let cause = FailureCause::Reset;
        host.fail(&order, request, cause, Verdict::MayHaveRun, false);
    }
    let ejected = host.controller.ejected();
    assert!(!ejected.is_empty());
    host.read_directory(with_restarted(&ejected[0], 5_000), &[]);
    let restarted = ejected[0].clone().with_started_ms(Some(5_000));
    assert!(!host.controller.ejected().contains(&restarted));
}

/// Guards against a host that sends prompts to an engine without a warm cache, or avoids the
/// engine: load notes in transit describe the earlier incarnation, and name upstreams without their
/// start time.
#[test]
fn notes_about_an_earlier_incarnation_do_not_apply_to_the_later_one() {
    let mut hosts = [Host::new(0), Host::new(1)];
    for host in &mut hosts {
        host.advance(100);
    }
    exchange_notes(&mut hosts);
    let chosen = sent(&hosts[0].ask(prompt()).1).unwrap().upstream;
    hosts[0].advance(100);
    hosts[1].read_directory(with_restarted(&chosen, 5_000), &[]);
    let advertised = hosts[0].take_notes();
    let (_, mut note) = advertised
        .into_iter()
        .find(|(to, _)| *to == address(1))
        .unwrap();
    note.leaving = vec![chosen.clone()];
    note.reads = vec![PromptRead {
        chain: 1,
        tokens: Tokens::new(DOCUMENT_TOKENS),
        upstream: chosen.clone(),
    }];
    let from = address(0);
    hosts[1].handle(Event::LoadNoteReceived { from, note });
    let restarted = chosen.with_started_ms(Some(5_000));
    let now = hosts[1].now;
    assert!(!hosts[1].controller.leaving(now).contains(&restarted));
    let order = sent(&hosts[1].ask(prompt()).1).unwrap();
    assert_eq!(order.inputs.others_in_flight, 0);
}

/// Guards against an upstream that is listed twice after a store outage and gets twice its share:
/// it restarts during the outage, and the earlier incarnation is kept as an upstream whose entry
/// has just expired.
#[test]
fn an_earlier_incarnation_is_not_kept_as_an_expired_entry() {
    let mut host = Host::new(0);
    host.lose_directory(1_000);
    let id: UpstreamId = "shop-1".parse().unwrap();
    host.read_directory(with_restarted(&id, 5_000), &[]);
    assert!(
        host.controller.leaving(host.now).contains(&id) || host.controller.in_flight(&id).is_none()
    );
}
