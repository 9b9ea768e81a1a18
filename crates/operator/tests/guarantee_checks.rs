//! Each guarantee check reports a violation that is injected into a history and
//! reports none for a valid history.

#![allow(missing_docs, clippy::unwrap_used)]

use {
    operator::{
        Ending, Experiment, Fault, FaultKind, LeavingSpan, Record, Scenario, check_guarantees,
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

fn valid_experiment() -> Experiment {
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

/// Returns the check with a name, for a valid history changed by `inject_fault`.
fn check_guarantee(
    name: &str,
    inject_fault: impl FnOnce(&mut Experiment, &mut Scenario),
) -> GuaranteeCheck {
    let mut scenario = scenario();
    let mut experiment = valid_experiment();
    inject_fault(&mut experiment, &mut scenario);
    let checks = check_guarantees(&scenario, &experiment);
    checks.into_iter().find(|check| check.name == name).unwrap()
}

fn assert_violation_found(name: &str, inject_fault: impl FnOnce(&mut Experiment, &mut Scenario)) {
    let check = check_guarantee(name, inject_fault);
    assert!(check.checked > 0, "{name} checks nothing");
    assert_eq!(check.broken, 1, "{name} finds nothing");
}

#[test]
fn valid_history_has_no_violation() {
    let checks = check_guarantees(&scenario(), &valid_experiment());
    assert_eq!(checks.iter().map(|check| check.broken).sum::<u64>(), 0);
}

#[test]
fn urgent_request_shed_while_less_urgent_work_starts_is_found() {
    assert_violation_found("urgent-never-shed-for-less", |experiment, _| {
        experiment.records[0].ending = Ending::Refused;
        experiment.records[0].code = Some("queue_full".to_string());
        for _ in 0..100 {
            experiment.runs.push(run("d", "engine-1", 300));
        }
    });
}

#[test]
fn starved_class_is_found() {
    assert_violation_found("every-class-served", |experiment, _| {
        experiment.records[2].ending = Ending::Refused;
    });
}

#[test]
fn truncated_response_reported_as_finished_is_found() {
    assert_violation_found("complete-own-answer", |experiment, _| {
        experiment.records[0].received = 4;
    });
}

#[test]
fn response_of_another_request_is_found() {
    assert_violation_found("complete-own-answer", |experiment, _| {
        experiment.records[0].foreign = true;
    });
}

#[test]
fn false_not_run_verdict_is_found() {
    assert_violation_found("not-run-is-true", |experiment, _| {
        experiment.records[0].ending = Ending::Refused;
        experiment.records[0].verdict = Some(Verdict::NotRun);
    });
}

#[test]
fn second_run_of_a_non_idempotent_request_is_found() {
    assert_violation_found("at-most-once", |experiment, _| {
        experiment.runs.push(run("o", "orders-1", 200));
    });
}

#[test]
fn new_work_on_a_leaving_engine_is_found() {
    assert_violation_found("leaving-gets-no-new-work", |experiment, _| {
        experiment.runs.push(run("x", "engine-3", 3_200));
    });
}

/// Guards against a false violation: an engine is asked to leave, is later listed
/// as live and then gets work again. A check that considers only the start of
/// leaving reports this work.
#[test]
fn new_work_after_leaving_was_revoked_is_allowed() {
    let check = check_guarantee("leaving-gets-no-new-work", |experiment, _| {
        let revoked = span(Some(5_000));
        experiment
            .leaving
            .insert("engine-3".parse().unwrap(), revoked);
        experiment.runs.push(run("x", "engine-3", 6_000));
    });
    assert_eq!((check.checked, check.broken), (1, 0));
}

#[test]
fn request_cut_by_a_planned_stop_is_found() {
    assert_violation_found("planned-stop-cuts-nothing", |experiment, scenario| {
        scenario.faults = vec![Fault {
            at_s: 0.2,
            for_s: 0.0,
            kind: FaultKind::HostReplaced { host: 0 },
        }];
        experiment.records[0].ending = Ending::Broken;
    });
}

#[test]
fn decreasing_version_is_found() {
    assert_violation_found("versions-never-fall", |experiment, _| {
        experiment.versions[0].push(ConfigVersion::new(1));
    });
}
