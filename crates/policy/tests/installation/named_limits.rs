//! Upstreams that name a limit for the requests of all hosts together.

use {
    crate::fleet::{Fleet, replica},
    std::time::Duration,
};

/// Requests in four seconds that a limit allows, by the installations' bound.
fn allowed(per_s: f64) -> usize {
    (1.5 * 4.0 * per_s + 5.0) as usize
}

#[test]
fn an_upstream_that_names_a_limit_gets_no_more_than_that_from_all_hosts_together() {
    let mut fleet = Fleet::new(9, 18, 1);
    let load = [("lookup", 90.0)];
    fleet.pass(Duration::from_secs(3), &load);
    fleet.limits.insert(replica(0), 1.3);
    fleet.limits.insert(replica(1), 1.1);
    fleet.pass(Duration::from_secs(12), &load);
    for (number, limit) in [(0, 1.3), (1, 1.1)] {
        let most = fleet.most_in_4_s(&replica(number));
        assert!(most <= allowed(limit), "{most} requests in 4 s");
    }
    let counts = fleet.of("lookup");
    assert_eq!(counts.refused, 0);
}
