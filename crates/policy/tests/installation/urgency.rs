//! Tests the order of requests in a host's queue, the priorities that engines get, and the
//! placement of prompts where an idle engine is faster than busy ones.

use {
    crate::support::{Host, TestRequest, engines, sent},
    config::Upstream,
    policy::{Action, Event},
    std::time::Duration,
    types::prelude::*,
};

/// Classes and keys in the order of a host's queue, the most urgent first: the first team's tier
/// precedes the second's, and the classes of a team are ordered by their own tiers.
const QUEUE_ORDER: [(&str, &str); 5] = [
    ("question", "first-key"),
    ("summary", "first-key"),
    ("question", "shop-key"),
    ("draft", "shop-key"),
    ("summary", "shop-key"),
];

fn prompt(class: &'static str, key: &'static str) -> TestRequest {
    TestRequest::prompt(class, key, &[(1, 500), (2, 100)])
}

/// Guards against a team's tier that replaces the tier of the class. Where all teams have the same
/// tier, the most urgent class would wait behind long summaries in an overload: at 1.5 times the
/// capacity, few of the urgent short responses would be in time.
#[test]
fn a_queue_orders_by_team_tier_then_by_class() {
    let mut host = Host::new(0);
    let mut engine = engines(1);
    for upstream in engine.values_mut() {
        if let Upstream::Engine(engine) = upstream {
            engine.slots = 1;
            engine.queue_bound = 0;
        }
    }
    host.read_directory(engine, &[]);
    let (mut running, actions) = host.ask(prompt("summary", "shop-key"));
    assert!(sent(&actions).is_some());
    let mut waiting = Vec::new();
    for (class, key) in QUEUE_ORDER.into_iter().rev() {
        let (request, actions) = host.ask(prompt(class, key));
        assert!(sent(&actions).is_none());
        waiting.push(request);
    }
    for expected in waiting.into_iter().rev() {
        let actions = host.handle(Event::CallerGone { request: running });
        let mut started = actions.iter().filter_map(|action| match action {
            Action::Send { request, .. } => Some(*request),
            _ => None,
        });
        running = started.next().unwrap();
        assert_eq!(running, expected);
    }
}

/// Guards against priorities that order by the team's tier first, as the queue does, and merge the
/// less urgent levels. When an engine runs out of slots or memory, it would preempt many short
/// urgent streams of a less urgent team while long summaries continue.
#[test]
fn an_engines_priorities_order_by_class_then_by_team_tier() {
    let mut host = Host::new(0);
    let mut priority = |class, key| sent(&host.ask(prompt(class, key)).1).unwrap().priority;
    let levels = [
        priority("question", "first-key"),
        priority("question", "shop-key"),
        priority("draft", "shop-key"),
        priority("summary", "first-key"),
        priority("summary", "shop-key"),
    ];
    assert!(levels.is_sorted_by(|a, b| a < b), "{levels:?}");
}

/// Reports the first token of a response and ten more at the given interval, then cancels the
/// request.
fn report_tokens(host: &mut Host, request: RequestId, order: &policy::SendOrder, interval_ms: u64) {
    let progress = |host: &mut Host, tokens| {
        host.handle(Event::Progressed {
            attempt: order.attempt,
            longest_pause: Duration::ZERO,
            request,
            tokens: Tokens::new(tokens),
        });
    };
    progress(host, 1);
    host.now = host.now.plus_ms(10 * interval_ms);
    progress(host, 10);
    host.handle(Event::CallerGone { request });
}

/// Guards against prompts that are prefilled again on another engine under a low load. An idle
/// engine emits tokens many times as fast as engines that prefill prompts. If the host takes the
/// others for slow engines, prompts move to the idle one: in a day of low load, shared parts of 538
/// short and 161 long prompts are prefilled on a further engine, instead of 263 and 16.
#[test]
fn an_idle_engine_takes_no_prompts_from_their_preferred_engines() {
    let mut host = Host::new(0);
    let parts = |number: u64| [(number, 13_300), (1_000 + number, 3_700)];
    let mut placements = std::collections::BTreeMap::new();
    for number in 0..30 {
        let ask = TestRequest::prompt("question", "shop-key", &parts(number));
        let (request, actions) = host.ask(ask);
        let order = sent(&actions).unwrap();
        let is_idle = order.upstream.name() == "engine-0";
        report_tokens(&mut host, request, &order, if is_idle { 3 } else { 24 });
        placements.insert(number, order.upstream);
        let as_of = host.now;
        host.handle(Event::ConfigurationConfirmed { as_of });
    }
    // The host has not sent these prompts before; it knows only the speeds of the engines.
    for number in 100..130 {
        let ask = TestRequest::prompt("question", "shop-key", &parts(number));
        let (request, actions) = host.ask(ask);
        let order = sent(&actions).unwrap();
        host.handle(Event::CallerGone { request });
        placements.insert(number, order.upstream);
    }
    let on_idle = placements
        .values()
        .filter(|engine| engine.name() == "engine-0");
    let on_idle = on_idle.count();
    assert!(
        (10..=32).contains(&on_idle),
        "{on_idle} of 60 at one of three"
    );
}
