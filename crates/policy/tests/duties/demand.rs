//! Upstreams ordered by what is asked for: loads played in virtual time.

use {
    crate::played_service::{Load, Played, PlayedService},
    policy::{CapacityPlan, DomainPrices, StartTime, TargetBound},
    std::time::Duration,
};

const CALM: Load = Load {
    busy: |_| 10.0,
    is_told: |_| true,
};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn played(load: Load, length_s: u64) -> Played {
    let mut service = PlayedService::new(load);
    service.pass(seconds(length_s));
    service.played
}

/// What the plan costs and serves that keeps the number of the start.
fn played_by_start(load: Load, length_s: u64) -> Played {
    let mut service = PlayedService::without_demand(load);
    service.pass(seconds(length_s));
    service.played
}

/// Guards against upstreams that nobody asks for.
#[test]
fn a_calm_load_takes_a_third_less_and_nothing_is_late() {
    let before = played_by_start(CALM, 120);
    let after = played(CALM, 120);
    assert_eq!(after.late_work, 0.0);
    assert_eq!(before.late_work, 0.0);
    assert!(
        after.price < before.price * 2.0 / 3.0,
        "{after:?}, before {before:?}"
    );
}

/// Guards against a reserve that only fits what was seen.
#[test]
fn a_burst_without_notice_is_carried() {
    let load = Load {
        busy: |s| if (70..79).contains(&s) { 25.0 } else { 10.0 },
        ..CALM
    };
    let after = played(load, 120);
    assert_eq!(after.late_work, 0.0, "{after:?}");
    assert!(after.price < played_by_start(load, 120).price, "{after:?}");
}

/// Guards against upstreams that are given up in each trough and missing at each crest.
#[test]
fn a_wave_gives_nothing_up_in_its_troughs() {
    let load = Load {
        busy: |s| 12.0 + 8.0 * (std::f64::consts::TAU * s as f64 / 17.0).sin(),
        ..CALM
    };
    let mut service = PlayedService::new(load);
    service.pass(seconds(60));
    let settled = service.orders;
    service.pass(seconds(120));
    assert_eq!(
        service.orders, settled,
        "nothing is ordered once it is seen"
    );
    assert_eq!(service.played.late_work, 0.0);
    assert!(service.played.price < played_by_start(load, 180).price);
}

/// Guards against a reclaim at the crest that leaves less than what urgent requests need.
#[test]
fn a_failure_domain_reclaimed_at_the_crest_leaves_enough_for_the_urgent() {
    let load = Load {
        busy: |s| 12.0 + 8.0 * (std::f64::consts::TAU * s as f64 / 17.0).sin(),
        ..CALM
    };
    let mut service = PlayedService::new(load);
    service.pass(seconds(72));
    for domain in 0..3 {
        service.reclaim(domain, seconds(10));
        service.pass(seconds(34));
    }
    assert_eq!(service.played.lost_urgent_work, 0.0, "{:?}", service.played);
}

/// Guards against a cold start that is taken for calm.
#[test]
fn a_cold_start_gives_nothing_up_before_a_wave_was_seen() {
    let load = Load {
        busy: |s| if (5..14).contains(&s) { 30.0 } else { 4.0 },
        ..CALM
    };
    let mut before = PlayedService::without_demand(load);
    let mut after = PlayedService::new(load);
    for _ in 0..10 {
        before.pass(seconds(2));
        after.pass(seconds(2));
        assert_eq!(after.ready(), before.ready());
    }
    after.pass(seconds(60));
    assert!(after.ready() < before.ready() / 2, "{}", after.ready());
}

/// Guards against a rise that is followed only once it is over.
#[test]
fn a_rise_is_followed_within_the_time_that_an_upstream_takes_to_start() {
    let load = Load {
        busy: |s| if s < 60 { 10.0 } else { 40.0 },
        ..CALM
    };
    let mut service = PlayedService::new(load);
    service.pass(seconds(60));
    assert!(service.ready() < 60, "{}", service.ready());
    service.pass(seconds(9));
    assert!(service.ready() >= 80, "{}", service.ready());
}

/// Guards against dear upstreams where more are wanted than at the start.
#[test]
fn what_is_wanted_beyond_the_start_is_of_the_cheaper_kind() {
    let load = Load {
        busy: |_| 60.0,
        ..CALM
    };
    let mut service = PlayedService::new(load);
    service.pass(seconds(60));
    assert!(service.ready() >= 105, "{}", service.ready());
    assert_eq!(service.regular(), 6);
}

/// Guards against upstreams that are given up while those of another failure domain are missing.
#[test]
fn nothing_is_given_up_while_others_are_missing() {
    let load = Load {
        busy: |s| if s < 30 { 30.0 } else { 8.0 },
        ..CALM
    };
    let mut service = PlayedService::new(load);
    service.pass(seconds(46));
    service.reclaim(0, seconds(30));
    service.pass(seconds(4));
    let ready = service.ready();
    service.pass(seconds(24));
    assert!(service.ready() >= ready, "{} of {ready}", service.ready());
    service.pass(seconds(60));
    assert!(service.ready() <= 30, "8 busy of 27: {}", service.ready());
}

/// Guards against growth that gives up upstreams of a dear failure domain.
#[test]
fn no_failure_domain_shrinks_where_the_service_grows() {
    let load = Load {
        busy: |s| if s < 4 { 20.0 } else { 70.0 },
        ..CALM
    };
    let mut service = PlayedService::new(load);
    let mut before = PlayedService::without_demand(load);
    for _ in 0..30 {
        service.pass(seconds(2));
        before.pass(seconds(2));
        assert!(service.ready() >= before.ready());
    }
}

/// Guards against a new holder that takes what it finds in the middle of a step for what is
/// wanted, or gives up what it knows nothing of.
#[test]
fn a_later_holder_goes_on_in_the_middle_of_a_step() {
    let load = Load {
        busy: |s| if s < 60 { 10.0 } else { 30.0 },
        ..CALM
    };
    let mut service = PlayedService::new(load);
    service.pass(seconds(63));
    let targets = service.plan.targets();
    assert!(!targets.is_empty());
    service.change_holder();
    assert_eq!(service.plan.targets(), targets);
    service.pass(seconds(6));
    let count = |targets: &[(_, _, u32)]| targets.iter().map(|(_, _, count)| count).sum::<u32>();
    assert!(count(&service.plan.targets()) >= count(&targets));
    assert_eq!(service.played.late_work, 0.0, "{:?}", service.played);
}

/// Guards against an order that was lost and is never made again.
#[test]
fn a_lost_order_is_made_again() {
    let load = Load {
        busy: |s| if s < 60 { 10.0 } else { 40.0 },
        ..CALM
    };
    let mut service = PlayedService::new(load);
    service.pass(seconds(60));
    service.loses_orders = true;
    service.pass(seconds(6));
    service.loses_orders = false;
    service.pass(seconds(8));
    assert!(service.ready() >= 80, "{}", service.ready());
}

/// Guards against a refusal of cheaper upstreams that leaves a failure domain's loss unfilled.
#[test]
fn regular_upstreams_come_where_others_are_refused() {
    let mut service = PlayedService::new(CALM);
    service.pass(seconds(60));
    service.sells_reclaimable = false;
    service.reclaim(0, seconds(60));
    service.reclaim(1, seconds(60));
    service.pass(seconds(8));
    assert!(service.ready() >= 15, "{}", service.ready());
    assert_eq!(service.played.lost_urgent_work, 0.0, "{:?}", service.played);
}

/// Guards against hosts that fall silent and are taken for hosts without work.
#[test]
fn silence_of_the_hosts_gives_nothing_up() {
    let load = Load {
        is_told: |s| s < 40,
        ..CALM
    };
    let mut service = PlayedService::new(load);
    service.pass(seconds(40));
    let (targets, ready) = (service.plan.targets(), service.ready());
    service.pass(seconds(60));
    assert_eq!(service.plan.targets(), targets);
    assert_eq!(service.ready(), ready);
    assert_eq!(service.bound(), TargetBound::Unknown);
}

/// Guards against figures that cannot be, and orders without end for them.
#[test]
fn absurd_work_is_no_demand() {
    let load = Load {
        busy: |s| if s < 60 { 10.0 } else { 1e15 },
        ..CALM
    };
    let mut service = PlayedService::new(load);
    service.pass(seconds(60));
    let targets = service.plan.targets();
    service.pass(seconds(3));
    assert_eq!(service.plan.targets(), targets);
}

/// Guards against prices that send all upstreams to one failure domain, or none anywhere.
#[test]
fn cheaper_failure_domains_get_more_within_bounds() {
    let prices = |named: [Option<f64>; 3]| DomainPrices::new(named.into_iter());
    let parts = prices([Some(1.0), Some(0.1), Some(3.0)]).unwrap().shares();
    assert!(parts[1] > parts[0] && parts[0] >= parts[2], "{parts:?}");
    assert!(
        parts.iter().all(|part| (0.25..0.45).contains(part)),
        "{parts:?}"
    );
    let absurd = [None, Some(0.0), Some(-1.0), Some(f64::NAN), Some(1e9)];
    for price in absurd {
        assert_eq!(prices([Some(1.0), Some(0.8), price]), None, "{price:?}");
    }
    assert_eq!(DomainPrices::equal(4).shares(), [0.25; 4]);
}

/// Guards against an upstream's start time that is taken from one late order.
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
