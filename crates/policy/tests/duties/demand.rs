//! Tests of the number of upstreams that follows the demand, with loads simulated in virtual time.

use {
    crate::simulated_service::{Load, SimulatedService, SimulationTotals},
    policy::{CapacityPlan, DomainPrices, StartTime, TargetBound},
    std::time::Duration,
};

const STEADY: Load = Load {
    busy: |_| 10.0,
    is_reported: |_| true,
};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn simulate(load: Load, length_s: u64) -> SimulationTotals {
    let mut service = SimulatedService::new(load);
    service.advance(seconds(length_s));
    service.totals
}

/// Totals of a plan that ignores the demand and keeps the initial number of upstreams.
fn simulate_without_demand(load: Load, length_s: u64) -> SimulationTotals {
    let mut service = SimulatedService::without_demand(load);
    service.advance(seconds(length_s));
    service.totals
}

/// Guards against paying for upstreams that the demand does not require.
#[test]
fn a_steady_load_costs_a_third_less_without_excess_work() {
    let before = simulate_without_demand(STEADY, 120);
    let after = simulate(STEADY, 120);
    assert_eq!(after.excess_work, 0.0);
    assert_eq!(before.excess_work, 0.0);
    assert!(
        after.cost < before.cost * 2.0 / 3.0,
        "{after:?}, before {before:?}"
    );
}

/// Guards against a reserve that covers only the load observed so far, so that a sudden burst
/// exceeds the capacity.
#[test]
fn a_sudden_burst_is_served() {
    let load = Load {
        busy: |s| if (70..79).contains(&s) { 25.0 } else { 10.0 },
        ..STEADY
    };
    let after = simulate(load, 120);
    assert_eq!(after.excess_work, 0.0, "{after:?}");
    assert!(
        after.cost < simulate_without_demand(load, 120).cost,
        "{after:?}"
    );
}

/// Guards against upstreams that are released in each trough of a periodic load and missing at each
/// peak.
#[test]
fn a_periodic_load_releases_no_upstreams_in_its_troughs() {
    let load = Load {
        busy: |s| 12.0 + 8.0 * (std::f64::consts::TAU * s as f64 / 17.0).sin(),
        ..STEADY
    };
    let mut service = SimulatedService::new(load);
    service.advance(seconds(60));
    let settled = service.orders;
    service.advance(seconds(120));
    assert_eq!(
        service.orders, settled,
        "no orders after the load cycle was observed"
    );
    assert_eq!(service.totals.excess_work, 0.0);
    assert!(service.totals.cost < simulate_without_demand(load, 180).cost);
}

/// Guards against a reclaim at peak load that leaves too few upstreams for urgent requests.
#[test]
fn a_reclaim_at_the_peak_leaves_enough_for_urgent_requests() {
    let load = Load {
        busy: |s| 12.0 + 8.0 * (std::f64::consts::TAU * s as f64 / 17.0).sin(),
        ..STEADY
    };
    let mut service = SimulatedService::new(load);
    service.advance(seconds(72));
    for domain in 0..3 {
        service.reclaim(domain, seconds(10));
        service.advance(seconds(34));
    }
    assert_eq!(
        service.totals.excess_urgent_work, 0.0,
        "{:?}",
        service.totals
    );
}

/// Guards against treating the low load after a cold start as steady and releasing upstreams too
/// early.
#[test]
fn a_cold_start_releases_no_upstreams_before_a_load_cycle_was_observed() {
    let load = Load {
        busy: |s| if (5..14).contains(&s) { 30.0 } else { 4.0 },
        ..STEADY
    };
    let mut before = SimulatedService::without_demand(load);
    let mut after = SimulatedService::new(load);
    for _ in 0..10 {
        before.advance(seconds(2));
        after.advance(seconds(2));
        assert_eq!(after.ready(), before.ready());
    }
    after.advance(seconds(60));
    assert!(after.ready() < before.ready() / 2, "{}", after.ready());
}

/// Guards against new upstreams that are ready only after a rise in load has ended.
#[test]
fn a_rise_is_followed_within_the_time_that_an_upstream_takes_to_start() {
    let load = Load {
        busy: |s| if s < 60 { 10.0 } else { 40.0 },
        ..STEADY
    };
    let mut service = SimulatedService::new(load);
    service.advance(seconds(60));
    assert!(service.ready() < 60, "{}", service.ready());
    service.advance(seconds(9));
    assert!(service.ready() >= 80, "{}", service.ready());
}

/// Guards against ordering regular upstreams, which cost more, when the service grows beyond its
/// initial number.
#[test]
fn growth_beyond_the_baseline_orders_reclaimable_upstreams() {
    let load = Load {
        busy: |_| 60.0,
        ..STEADY
    };
    let mut service = SimulatedService::new(load);
    service.advance(seconds(60));
    assert!(service.ready() >= 105, "{}", service.ready());
    assert_eq!(service.regular(), 6);
}

/// Guards against releasing upstreams while those of another failure domain are missing after a
/// reclaim.
#[test]
fn nothing_is_released_while_a_failure_domain_lacks_upstreams() {
    let load = Load {
        busy: |s| if s < 30 { 30.0 } else { 8.0 },
        ..STEADY
    };
    let mut service = SimulatedService::new(load);
    service.advance(seconds(46));
    service.reclaim(0, seconds(30));
    service.advance(seconds(4));
    let ready = service.ready();
    service.advance(seconds(24));
    assert!(service.ready() >= ready, "{} of {ready}", service.ready());
    service.advance(seconds(60));
    assert!(
        service.ready() <= 30,
        "8 upstreams are busy and about 27 are expected; {} are ready",
        service.ready()
    );
}

/// Guards against releasing upstreams of an expensive failure domain while the service grows.
#[test]
fn no_failure_domain_shrinks_where_the_service_grows() {
    let load = Load {
        busy: |s| if s < 4 { 20.0 } else { 70.0 },
        ..STEADY
    };
    let mut service = SimulatedService::new(load);
    let mut before = SimulatedService::without_demand(load);
    for _ in 0..30 {
        service.advance(seconds(2));
        before.advance(seconds(2));
        assert!(service.ready() >= before.ready());
    }
}

/// Guards against a new lease holder that takes over during a scale-up and adopts the current
/// number of upstreams as the target, or releases upstreams while the demand is unknown to it.
#[test]
fn a_new_lease_holder_continues_during_a_scale_up() {
    let load = Load {
        busy: |s| if s < 60 { 10.0 } else { 30.0 },
        ..STEADY
    };
    let mut service = SimulatedService::new(load);
    service.advance(seconds(63));
    let targets = service.plan.targets();
    assert!(!targets.is_empty());
    service.change_lease_holder();
    assert_eq!(service.plan.targets(), targets);
    service.advance(seconds(6));
    let count = |targets: &[(_, _, u32)]| targets.iter().map(|(_, _, count)| count).sum::<u32>();
    assert!(count(&service.plan.targets()) >= count(&targets));
    assert_eq!(service.totals.excess_work, 0.0, "{:?}", service.totals);
}

/// Guards against a lost order that is never placed again.
#[test]
fn a_lost_order_is_made_again() {
    let load = Load {
        busy: |s| if s < 60 { 10.0 } else { 40.0 },
        ..STEADY
    };
    let mut service = SimulatedService::new(load);
    service.advance(seconds(60));
    service.loses_orders = true;
    service.advance(seconds(6));
    service.loses_orders = false;
    service.advance(seconds(8));
    assert!(service.ready() >= 80, "{}", service.ready());
}

/// Guards against upstreams lost to a reclaim that are not replaced because orders of reclaimable
/// ones are refused.
#[test]
fn regular_upstreams_are_ordered_where_reclaimable_ones_are_refused() {
    let mut service = SimulatedService::new(STEADY);
    service.advance(seconds(60));
    service.offers_reclaimable = false;
    service.reclaim(0, seconds(60));
    service.reclaim(1, seconds(60));
    service.advance(seconds(8));
    assert!(service.ready() >= 15, "{}", service.ready());
    assert_eq!(
        service.totals.excess_urgent_work, 0.0,
        "{:?}",
        service.totals
    );
}

/// Guards against treating hosts that stop reporting as hosts without work.
#[test]
fn missing_usage_notes_release_no_upstreams() {
    let load = Load {
        is_reported: |s| s < 40,
        ..STEADY
    };
    let mut service = SimulatedService::new(load);
    service.advance(seconds(40));
    let (targets, ready) = (service.plan.targets(), service.ready());
    service.advance(seconds(60));
    assert_eq!(service.plan.targets(), targets);
    assert_eq!(service.ready(), ready);
    assert_eq!(service.bound(), TargetBound::Unknown);
}

/// Guards against unbounded orders for implausibly large work totals.
#[test]
fn implausible_work_totals_are_ignored() {
    let load = Load {
        busy: |s| if s < 60 { 10.0 } else { 1e15 },
        ..STEADY
    };
    let mut service = SimulatedService::new(load);
    service.advance(seconds(60));
    let targets = service.plan.targets();
    service.advance(seconds(3));
    assert_eq!(service.plan.targets(), targets);
}

/// Guards against extreme or invalid prices that place all upstreams in one failure domain, or none
/// in any.
#[test]
fn cheaper_failure_domains_get_more_within_bounds() {
    let prices = |named: [Option<f64>; 3]| DomainPrices::new(named.into_iter());
    let shares = prices([Some(1.0), Some(0.1), Some(3.0)]).unwrap().shares();
    assert!(
        shares[1] > shares[0] && shares[0] >= shares[2],
        "{shares:?}"
    );
    assert!(
        shares.iter().all(|share| (0.25..0.45).contains(share)),
        "{shares:?}"
    );
    let absurd = [None, Some(0.0), Some(-1.0), Some(f64::NAN), Some(1e9)];
    for price in absurd {
        assert_eq!(prices([Some(1.0), Some(0.8), price]), None, "{price:?}");
    }
    assert_eq!(DomainPrices::equal(4).shares(), [0.25; 4]);
}

/// Guards against a start time estimate that a single delayed order distorts.
#[test]
fn start_times_are_learned() {
    let mut start = StartTime::default();
    assert_eq!(start.estimate(Some(seconds(4))), seconds(4));
    start.record(seconds(6));
    assert_eq!(start.estimate(Some(seconds(4))), seconds(6));
    start.record(Duration::MAX);
    assert!(
        start.estimate(None) < seconds(30),
        "{:?}",
        start.estimate(None)
    );
    assert!(CapacityPlan::default().targets().is_empty());
}
