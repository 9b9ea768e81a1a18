//! Which request goes first, and which engine is taken for a slow one.

use {
    crate::support::{Host, TestRequest, engines, sent},
    config::Upstream,
    policy::{Action, Event},
    std::time::Duration,
    types::prelude::*,
};

/// Classes and keys, most urgent first in a host's queue: the first team's tier goes
/// before the second's, and within a team the classes are in order.
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

/// Symptom: in an overload the most urgent class waits behind the least. Events:
/// all teams have one tier, and long summaries fill the engines. Cause: a team's
/// tier takes the place of the class's. Before, few of the
/// urgent short replies were in time at 1.5 times the capacity.
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

/// Symptom: many short urgent streams are preempted at an engine while long summaries
/// run on beside them. Events: an engine's slots or memory run out while it runs both,
/// the urgent ones of a lesser team. Cause: the team's tier goes first at the engine as
/// it does in the queue, and the lesser levels share one priority.
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

/// Lets an engine give its first event, and ten more `interval_ms` apart.
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

/// Symptom: prompts are read again on quiet days. Events: one engine has nothing
/// to do and gives tokens many times as fast as the others, which read prompts.
/// Cause: every other engine is taken for a slow one. Before, 538 of the short
/// prompts' and 161 of the long ones' shared parts were read on a further engine
/// on a quiet day, after it 263 and 16.
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
    // Another host sent them; this one only knows the engines' pace.
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
