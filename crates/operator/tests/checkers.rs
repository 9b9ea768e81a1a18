//! Each checker of a promise finds a fault that is planted in a history, and
//! finds nothing in a history without one.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    operator::{
        Ending, Experiment, Fault, FaultKind, LeavingSpan, Record, Scenario, check_promises,
    },
    router::GuaranteeCheck,
    standin::Run,
    std::collections::BTreeMap,
    types::prelude::*,
};

fn scenario() -> Scenario {
    Scenario::from_toml(include_str!("../../../scenarios/demo.toml")).unwrap()
}

fn record(tag: &str, class: &str, tier: u8) -> Record {
    Record {
        class: class.parse().unwrap(),
        code: None,
        ended_ms: 600.0,
        ending: Ending::Finished,
        first_token_ms: Some(50.0),
        foreign: false,
        intended_ms: 100.0,
        once: class == "order",
        received: 5,
        status: 200,
        streamed: true,
        tag: tag.to_string(),
        team: "shop".parse().unwrap(),
        tier: Tier::new(tier).unwrap(),
        verdict: Some(Verdict::Ran),
        wanted: 5,
    }
}

fn run(tag: &str, upstream: &str, started_ms: u64) -> Run {
    Run {
        attempt: None,
        finished: true,
        received_ms: started_ms,
        started_ms,
        tag: tag.to_string(),
        tokens: 5,
        upstream: upstream.to_string(),
    }
}

fn sound() -> Experiment {
    Experiment {
        records: vec![
            record("q", "question", 0),
            record("o", "order", 1),
            record("d", "description", 4),
        ],
        runs: vec![
            run("q", "engine-0", 100),
            run("o", "orders-0", 100),
            run("d", "engine-1", 100),
        ],
        versions: vec![[1, 1, 2].map(ConfigVersion::new).to_vec()],
        leaving: BTreeMap::from([("engine-3".parse().unwrap(), span(None))]),
    }
}

fn span(until_ms: Option<u64>) -> LeavingSpan {
    LeavingSpan {
        from_ms: 100,
        until_ms,
    }
}

/// The promise with a name, for a history with a planted fault.
fn checked(name: &str, plant: impl FnOnce(&mut Experiment, &mut Scenario)) -> GuaranteeCheck {
    let mut scenario = scenario();
    let mut experiment = sound();
    plant(&mut experiment, &mut scenario);
    let promises = check_promises(&scenario, &experiment);
    promises
        .into_iter()
        .find(|promise| promise.name == name)
        .unwrap()
}

fn found(name: &str, plant: impl FnOnce(&mut Experiment, &mut Scenario)) {
    let promise = checked(name, plant);
    assert!(promise.checked > 0, "{name} checks nothing");
    assert_eq!(promise.broken, 1, "{name} finds nothing");
}

#[test]
fn a_sound_history_breaks_nothing() {
    let promises = check_promises(&scenario(), &sound());
    assert_eq!(
        promises.iter().map(|promise| promise.broken).sum::<u64>(),
        0
    );
}

#[test]
fn a_shed_alert_with_less_urgent_work_started_is_found() {
    found("urgent-never-shed-for-less", |experiment, _| {
        experiment.records[0].ending = Ending::Refused;
        experiment.records[0].code = Some("queue_full".to_string());
        for _ in 0..100 {
            experiment.runs.push(run("d", "engine-1", 300));
        }
    });
}

#[test]
fn a_starved_class_is_found() {
    found("every-class-served", |experiment, _| {
        experiment.records[2].ending = Ending::Refused;
    });
}

#[test]
fn a_cut_answer_that_ended_well_is_found() {
    found("complete-own-answer", |experiment, _| {
        experiment.records[0].received = 4;
    });
}

#[test]
fn another_callers_answer_is_found() {
    found("complete-own-answer", |experiment, _| {
        experiment.records[0].foreign = true;
    });
}

#[test]
fn a_false_not_run_is_found() {
    found("not-run-is-true", |experiment, _| {
        experiment.records[0].ending = Ending::Refused;
        experiment.records[0].verdict = Some(Verdict::NotRun);
    });
}

#[test]
fn a_second_run_of_an_order_is_found() {
    found("at-most-once", |experiment, _| {
        experiment.runs.push(run("o", "orders-1", 200));
    });
}

#[test]
fn new_work_on_a_leaving_engine_is_found() {
    found("leaving-gets-no-new-work", |experiment, _| {
        experiment.runs.push(run("x", "engine-3", 3_200));
    });
}

/// Symptom: a run is said to break a promise that it kept.
/// Sequence: an engine is asked to leave, later to stay, and gets work again.
/// Cause: the checker knew only when it was asked to leave.
#[test]
fn work_on_an_engine_that_was_asked_to_stay_is_no_fault() {
    let promise = checked("leaving-gets-no-new-work", |experiment, _| {
        let stays = span(Some(5_000));
        experiment
            .leaving
            .insert("engine-3".parse().unwrap(), stays);
        experiment.runs.push(run("x", "engine-3", 6_000));
    });
    assert_eq!((promise.checked, promise.broken), (1, 0));
}

#[test]
fn a_request_that_a_planned_stop_cut_is_found() {
    found("planned-stop-cuts-nothing", |experiment, scenario| {
        scenario.faults = vec![Fault {
            at_s: 0.2,
            for_s: 0.0,
            kind: FaultKind::HostReplaced { host: 0 },
        }];
        experiment.records[0].ending = Ending::Broken;
    });
}

#[test]
fn a_version_that_fell_is_found() {
    found("versions-never-fall", |experiment, _| {
        experiment.versions[0].push(ConfigVersion::new(1));
    });
}
