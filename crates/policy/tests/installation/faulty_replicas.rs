//! Tests that replicas with a high error rate or response time get few requests.

use {
    crate::support::{Host, lookup, sent},
    policy::{AttemptEnd, Event},
    std::{collections::BTreeMap, time::Duration},
    types::prelude::*,
};

/// Response time and errors of a simulated replica.
#[derive(Clone, Copy)]
struct ReplicaBehavior {
    response_ms: u64,
    /// Every n-th request fails; 0 means that none fails.
    failure_interval: u64,
}

const HEALTHY: ReplicaBehavior = ReplicaBehavior {
    response_ms: 30,
    failure_interval: 0,
};

/// Sends a lookup every 40 ms through a host with three replicas, the first with the given
/// behavior. Returns the number of first attempts that each replica got after the first 5 s.
fn first_attempts(faulty: ReplicaBehavior) -> BTreeMap<String, usize> {
    let mut host = Host::new(0);
    let mut shares = BTreeMap::new();
    let mut request_counts: BTreeMap<String, u64> = BTreeMap::new();
    let mut running: Vec<(Time, RequestId, AttemptId, AttemptEnd)> = Vec::new();
    for step in 0..4_000_u64 {
        host.advance(10);
        let as_of = host.now;
        host.handle(Event::ConfigurationConfirmed { as_of });
        let now = host.now;
        let ended = running.extract_if(.., |(due, ..)| *due <= now);
        let ended: Vec<_> = ended.collect();
        let mut orders = Vec::new();
        for (_, request, attempt, end) in ended {
            let actions = host.handle(Event::AttemptEnded {
                attempt,
                end,
                request,
            });
            orders.extend(sent(&actions).map(|order| (request, order)));
        }
        if step % 4 == 0 {
            let (request, actions) = host.ask(lookup());
            if let Some(order) = sent(&actions) {
                if step >= 500 {
                    *shares.entry(order.upstream.to_string()).or_default() += 1;
                }
                orders.push((request, order));
            }
        }
        for (request, order) in orders {
            let replica = if order.upstream.name() == "shop-0" {
                faulty
            } else {
                HEALTHY
            };
            let count = request_counts
                .entry(order.upstream.to_string())
                .or_default();
            *count += 1;
            let fails = count.is_multiple_of(replica.failure_interval);
            let end = if fails {
                AttemptEnd::Failed {
                    cause: FailureCause::ErrorStatus,
                    delivered: false,
                    tokens: Tokens::default(),
                    verdict: Verdict::MayHaveRun,
                }
            } else {
                AttemptEnd::Completed {
                    response: None,
                    longest_pause: Duration::ZERO,
                    tokens: Tokens::default(),
                }
            };
            let span = Duration::from_millis(replica.response_ms);
            running.push((host.now + span, request, order.attempt, end));
        }
    }
    shares
}

/// Returns the share of the first attempts that the replica with the given behavior got.
fn share_of_faulty_replica(faulty: ReplicaBehavior) -> f64 {
    let shares = first_attempts(faulty);
    let total: usize = shares.values().sum();
    shares.get("shop-0").copied().unwrap_or_default() as f64 / total as f64
}

/// Guards against a host that counts only consecutive failures: a replica that fails every second
/// request then keeps 36 in 100 requests, and one in six calls of the class fails.
#[test]
fn a_replica_that_fails_half_of_its_requests_gets_few_requests() {
    let share = share_of_faulty_replica(ReplicaBehavior {
        failure_interval: 2,
        ..HEALTHY
    });
    assert!(share < 0.08, "{share:.2} of the requests");
}

/// Guards against a host that compares replicas only by their requests in flight. Under a low load
/// all replicas have none, so a replica that takes five times as long keeps 17 in 100 requests.
#[test]
fn a_slow_replica_gets_few_requests() {
    let share = share_of_faulty_replica(ReplicaBehavior {
        response_ms: 150,
        ..HEALTHY
    });
    assert!(share < 0.08, "{share:.2} of the requests");
}

/// Guards against a host that sends a healthy replica less than its share of the requests.
#[test]
fn a_healthy_replica_gets_its_share() {
    let share = share_of_faulty_replica(HEALTHY);
    assert!(share > 0.25, "{share:.2} of the requests");
}
