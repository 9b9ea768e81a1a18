//! Tests of the work totals that hosts report to the lease holder.

use {
    peer::{ModelWork, UsageNote},
    policy::DemandLedger,
    std::time::Duration,
    types::prelude::*,
};

fn note(host: u64, incarnation: u64, total_ms: u64) -> UsageNote {
    UsageNote {
        host: format!("host-{host}").parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
        protocol: peer::PROTOCOL,
        unix_ms: 0,
        windows: Vec::new(),
        work: vec![ModelWork {
            in_flight: 3,
            model: "pool".parse().unwrap(),
            total_ms,
            waiting_ms: 200,
        }],
    }
}

fn total_ms(ledger: &mut DemandLedger, now: Time) -> f64 {
    let model: ModelId = "pool".parse().unwrap();
    ledger.observed_demand(now, 1).unwrap()[&model].total_ms
}

/// Guards against counting work twice, or counting work that a host did before it was observed.
#[test]
fn work_totals_are_counted_once() {
    let mut ledger = DemandLedger::default();
    let at = |ms: u64| Time::from_ms(10_000 + ms);
    ledger.record(at(0), &note(1, 1, 5_000));
    ledger.record(at(500), &note(1, 1, 5_400));
    ledger.record(at(600), &note(1, 1, 5_100));
    ledger.record(at(700), &note(1, 1, 5_400));
    assert_eq!(total_ms(&mut ledger, at(700)), 400.0);
}

/// Guards against losing the work of a restarted host, or counting its earlier work again.
#[test]
fn a_restarted_host_adds_its_new_work() {
    let mut ledger = DemandLedger::default();
    let at = |ms: u64| Time::from_ms(10_000 + ms);
    ledger.record(at(0), &note(1, 1, 5_000));
    ledger.record(at(900), &note(1, 2, 300));
    ledger.record(at(901), &note(1, 1, 5_000));
    ledger.record(at(950), &note(1, 2, 300));
    assert_eq!(total_ms(&mut ledger, at(950)), 300.0);
}

/// Guards against demand that appears to fall because hosts have stopped reporting.
#[test]
fn demand_is_unknown_while_many_hosts_are_silent() {
    let mut ledger = DemandLedger::default();
    let now = Time::from_ms(10_000);
    for host in 0..10 {
        ledger.record(now, &note(host, 1, 0));
    }
    assert!(ledger.observed_demand(now, 10).is_some());
    assert!(ledger.observed_demand(now, 13).is_some());
    assert!(ledger.observed_demand(now, 14).is_none());
    assert!(ledger.observed_demand(now, 0).is_none());
    let later = now + Duration::from_secs(4);
    assert!(ledger.observed_demand(later, 10).is_none());
    assert!(ledger.observed_demand(later, 985).is_none());
}
