//! Whole experiments on embedded stand-ins: several hosts, faults together, and
//! every promise checked over the run's own history. Seeds are fixed; what is
//! asserted rests on histories, never on times.

#![allow(missing_docs, clippy::unwrap_used)]

use operator::{Fault, FaultKind, Scenario, history_report, run_experiment};

fn short(faults: Vec<Fault>, seed: u64) -> Scenario {
    let text = include_str!("../../../scenarios/demo.toml");
    let mut scenario = Scenario::from_toml(text).unwrap();
    scenario.duration_s = 4.0;
    scenario.fleet.hosts = 3;
    scenario.seed = seed;
    scenario.faults = faults;
    scenario
}

fn fault(at_s: f64, for_s: f64, kind: FaultKind) -> Fault {
    Fault { at_s, for_s, kind }
}

async fn keeps_promises(scenario: &Scenario, must_check: &[&str]) {
    let experiment = run_experiment(scenario, 1.0, false).await.unwrap();
    let report = history_report(scenario, &experiment);
    for promise in &report.promises {
        assert_eq!(promise.broken, 0, "seed {}: {promise:?}", scenario.seed);
    }
    for name in must_check {
        let promise = report.promises.iter().find(|promise| promise.name == *name);
        assert!(promise.unwrap().checked > 0, "{name} was not checked");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_run_without_faults_keeps_its_promises() {
    let must = ["complete-own-answer", "at-most-once", "every-class-served"];
    keeps_promises(&short(Vec::new(), 1), &must).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_hosts_cut_nothing() {
    let faults = vec![
        fault(0.5, 0.0, FaultKind::HostReplaced { host: 0 }),
        fault(1.5, 0.0, FaultKind::HostReplaced { host: 1 }),
        fault(2.5, 0.0, FaultKind::HostReplaced { host: 2 }),
    ];
    keeps_promises(&short(faults, 2), &["planned-stop-cuts-nothing"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn faults_of_upstreams_and_platform_together_break_no_promise() {
    let engine = |number: u32| format!("engine-{number}").parse().unwrap();
    let faults = vec![
        fault(
            0.5,
            2.0,
            FaultKind::EngineCrash {
                upstream: engine(0),
            },
        ),
        fault(
            0.7,
            2.0,
            FaultKind::EngineBreaks {
                after_events: 5,
                upstream: engine(1),
            },
        ),
        fault(
            1.0,
            20.0,
            FaultKind::EngineLeaves {
                upstream: engine(2),
            },
        ),
        fault(1.2, 1.0, FaultKind::StoreDown),
        fault(2.4, 0.8, FaultKind::StoreLosesAnswers { answers: 5 }),
        fault(
            1.5,
            1.0,
            FaultKind::ServiceResets {
                upstream: "orders-0".parse().unwrap(),
            },
        ),
        fault(3.4, 0.0, FaultKind::OperatorsRace { operators: 4 }),
    ];
    let must = [
        "at-most-once",
        "leaving-gets-no-new-work",
        "versions-never-fall",
    ];
    for seed in [3, 4] {
        keeps_promises(&short(faults.clone(), seed), &must).await;
    }
}
