//! Complete experiments with embedded stand-ins, several hosts and combined faults.
//! Every guarantee is checked over the history of the run. Seeds are fixed, and
//! assertions depend on the history only, never on timing.

#![allow(missing_docs, clippy::unwrap_used)]

use operator::{Fault, FaultKind, Scenario, history_report, run_experiment};

fn short_scenario(faults: Vec<Fault>, seed: u64) -> Scenario {
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

async fn assert_guarantees_hold(scenario: &Scenario, required_checks: &[&str]) {
    let experiment = run_experiment(scenario, 1.0, false).await.unwrap();
    let report = history_report(scenario, &experiment);
    for check in &report.promises {
        assert_eq!(check.broken, 0, "seed {}: {check:?}", scenario.seed);
    }
    for name in required_checks {
        let check = report.promises.iter().find(|check| check.name == *name);
        assert!(check.unwrap().checked > 0, "{name} was not checked");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn run_without_faults_keeps_every_guarantee() {
    let required_checks = ["complete-own-answer", "at-most-once", "every-class-served"];
    assert_guarantees_hold(&short_scenario(Vec::new(), 1), &required_checks).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_hosts_cut_no_request() {
    let faults = vec![
        fault(0.5, 0.0, FaultKind::HostReplaced { host: 0 }),
        fault(1.5, 0.0, FaultKind::HostReplaced { host: 1 }),
        fault(2.5, 0.0, FaultKind::HostReplaced { host: 2 }),
    ];
    assert_guarantees_hold(&short_scenario(faults, 2), &["planned-stop-cuts-nothing"]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn combined_upstream_and_platform_faults_keep_every_guarantee() {
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
    let required_checks = [
        "at-most-once",
        "leaving-gets-no-new-work",
        "versions-never-fall",
    ];
    for seed in [3, 4] {
        assert_guarantees_hold(&short_scenario(faults.clone(), seed), &required_checks).await;
    }
}
