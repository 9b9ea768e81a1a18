//! Upstreams that name a rate limit, which applies to the requests of all hosts together.

use {
    crate::{
        fleet::{Fleet, replica},
        support::{Host, engines, lookup, refused, sent, upstreams},
    },
    policy::{Action, Event, NoticeSource, RefusalReason},
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::time::Duration,
    types::{AdvertisedLimit, prelude::*},
};

/// Requests in 4 seconds that a limit allows: one and a half times the limit, and 5 more.
fn max_allowed_in_4_s(per_s: f64) -> usize {
    (1.5 * 4.0 * per_s + 5.0) as usize
}

/// Bytes per second that a host may send for coordination with other hosts.
const CONTROL_BYTES_PER_S: usize = 3_000;

const fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Returns a fleet whose replicas all name a limit after the first 3 seconds.
fn limited_fleet(hosts: usize, replicas: usize, per_s: f64, load: &[(&'static str, f64)]) -> Fleet {
    let mut fleet = Fleet::new(hosts, replicas, 1);
    fleet.advance(seconds(3), load);
    for number in 0..replicas {
        fleet.limits.insert(replica(number), per_s);
    }
    fleet
}

fn assert_limits_kept(fleet: &Fleet, replicas: usize, per_s: f64) {
    for number in 0..replicas {
        let most = fleet.max_requests_in_4_s(&replica(number));
        let hosts = fleet.hosts.len();
        assert!(
            most <= max_allowed_in_4_s(per_s),
            "{hosts} hosts, {per_s}/s: {most} requests in 4 s"
        );
    }
}

/// Counts the requests that all replicas received from `from` on.
fn count_requests_since(fleet: &Fleet, from: Time) -> usize {
    let requests = fleet.received.iter();
    requests.filter(|request| request.at >= from).count()
}

/// An upstream names a limit, or none, in a response.
fn respond_with_limit(host: &mut Host, upstream: &str, limit: Option<f64>) -> Vec<Action> {
    let sent = host.now;
    respond_with_limit_as_of(host, upstream, limit, sent)
}

/// An upstream names a limit, or none, in the response to a request sent at `sent`.
fn respond_with_limit_as_of(
    host: &mut Host,
    upstream: &str,
    limit: Option<f64>,
    sent: Time,
) -> Vec<Action> {
    let limit = limit.and_then(Rate::per_second);
    host.handle(Event::NoticeAnswered {
        notice: UpstreamNotice {
            limit: limit.map_or(AdvertisedLimit::Absent, AdvertisedLimit::Valid),
            ..UpstreamNotice::default()
        },
        sent,
        upstream: upstream.parse().unwrap(),
    })
}

#[test]
fn an_upstream_that_names_a_limit_gets_no_more_than_that_from_all_hosts_together() {
    let mut fleet = Fleet::new(9, 18, 1);
    let load = [("lookup", 90.0)];
    fleet.advance(Duration::from_secs(3), &load);
    fleet.limits.insert(replica(0), 1.3);
    fleet.limits.insert(replica(1), 1.1);
    fleet.advance(Duration::from_secs(12), &load);
    for (number, limit) in [(0, 1.3), (1, 1.1)] {
        let most = fleet.max_requests_in_4_s(&replica(number));
        assert!(most <= max_allowed_in_4_s(limit), "{most} requests in 4 s");
    }
    let counts = fleet.counts_of("lookup");
    assert_eq!(counts.refused, 0);
}

/// Guards against a limit that is forgotten while the directory entry of the upstream expires and
/// returns.
#[test]
fn a_limit_holds_after_the_upstreams_entry_expired_and_returned() {
    let mut host = Host::new(0);
    let mut only = upstreams();
    only.retain(|id, _| id.name() == "shop-1");
    host.read_directory(only.clone(), &[]);
    respond_with_limit(&mut host, "shop-1", Some(1.0));
    host.read_directory(engines(3), &[]);
    host.advance(500);
    host.read_directory(only, &[]);
    let mut sends = 0;
    for _ in 0..20 {
        let (request, actions) = host.ask(lookup());
        if let Some(order) = sent(&actions) {
            sends += 1;
            host.finish(&order, request);
        }
    }
    assert!(
        sends <= max_allowed_in_4_s(1.0),
        "{sends} requests at one moment"
    );
}

/// Guards against hosts that each apply the whole limit to their own requests.
#[test]
fn any_number_of_hosts_keeps_small_and_large_limits() {
    for (hosts, span) in [(6, 12), (24, 10), (66, 8)] {
        for per_s in [0.2_f64, 1.3, 20.0, 500.0] {
            let load = [("lookup", (4.0 * per_s).clamp(20.0, 400.0))];
            let mut fleet = limited_fleet(hosts, 2, per_s, &load);
            fleet.advance(seconds(span), &load);
            assert_limits_kept(&fleet, 2, per_s);
        }
    }
}

#[test]
fn hundreds_of_hosts_keep_a_small_limit() {
    for hosts in [195, 381] {
        let load = [("lookup", 100.0)];
        let mut fleet = limited_fleet(hosts, 1, 1.3, &load);
        fleet.advance(seconds(6), &load);
        assert_limits_kept(&fleet, 1, 1.3);
    }
}

#[test]
fn limits_are_used_fully_while_demand_exceeds_them() {
    let load = [("lookup", 60.0)];
    let mut fleet = limited_fleet(9, 4, 5.0, &load);
    fleet.advance(seconds(4), &load);
    let from = fleet.now;
    fleet.advance(seconds(10), &load);
    let reached = count_requests_since(&fleet, from);
    assert!(reached >= 170, "{reached} of 200");
    assert_limits_kept(&fleet, 4, 5.0);
}

/// Guards against hosts that keep requesting tokens from each other while some are unreachable.
#[test]
fn token_messages_are_bounded_during_a_partition() {
    let load = [("question", 10.0), ("lookup", 50.0)];
    let mut fleet = limited_fleet(14, 3, 3.0, &load);
    fleet.advance(seconds(2), &load);
    fleet.isolate(&[0, 1, 2]);
    let before = fleet.token_bytes;
    fleet.advance(seconds(6), &load);
    let bytes_per_s = (fleet.token_bytes - before) / (14 * 6);
    assert!(bytes_per_s <= CONTROL_BYTES_PER_S, "{bytes_per_s} a host");
}

#[test]
fn a_limit_far_above_the_load_delays_nothing() {
    let load = [("lookup", 60.0)];
    let mut fleet = limited_fleet(9, 4, 200.0, &load);
    fleet.advance(seconds(10), &load);
    let counts = fleet.counts_of("lookup");
    let slowest = counts.response_times.iter().max().unwrap();
    assert_eq!(*slowest, Duration::from_millis(30));
    assert_eq!(counts.refused, 0);
}

#[test]
fn urgent_requests_get_the_tokens_and_others_are_refused_early() {
    let load = [("question", 2.0), ("lookup", 30.0)];
    let mut fleet = limited_fleet(9, 3, 1.5, &load);
    fleet.advance(seconds(4), &load);
    let before = [fleet.counts_of("question"), fleet.counts_of("lookup")];
    fleet.advance(seconds(15), &load);
    let urgent = fleet.counts_of("question");
    let (sent, served) = (
        urgent.sent - before[0].sent,
        urgent.served - before[0].served,
    );
    assert!(served + 2 >= sent, "{served} of {sent} urgent ones");
    let other = fleet.counts_of("lookup");
    let mut delays = other.refusal_delays[before[1].refusal_delays.len()..].to_vec();
    delays.sort_unstable();
    let median = delays[delays.len() / 2];
    assert!(
        median < Duration::from_millis(1_000),
        "refused after {median:?}"
    );
    assert_limits_kept(&fleet, 3, 1.5);
}

#[test]
fn a_token_issuer_that_stops_responding_is_replaced() {
    let load = [("lookup", 40.0)];
    let mut fleet = limited_fleet(9, 1, 10.0, &load);
    fleet.advance(seconds(4), &load);
    let issuer = (0..9).max_by_key(|host| {
        let host = format!("host-{host}").parse().unwrap();
        rendezvous_weight(&replica(0).to_string(), &host)
    });
    let issuer = issuer.unwrap();
    fleet.freeze(issuer);
    fleet.advance(seconds(6), &load);
    let from = fleet.now;
    fleet.advance(seconds(4), &load);
    let reached = count_requests_since(&fleet, from);
    assert!(reached >= 30, "{reached} of 40");
    fleet.thaw(issuer);
    fleet.advance(seconds(8), &load);
    assert_limits_kept(&fleet, 1, 10.0);
}

/// Guards against two token issuers, one on each side of the partition, that both issue the whole
/// limit.
#[test]
fn partitioned_hosts_divide_a_limit() {
    let load = [("lookup", 60.0)];
    let mut fleet = limited_fleet(8, 1, 10.0, &load);
    fleet.advance(seconds(4), &load);
    fleet.isolate(&[0, 1, 2, 3]);
    fleet.advance(seconds(5), &load);
    let from = fleet.now;
    fleet.advance(seconds(10), &load);
    let reached = count_requests_since(&fleet, from);
    assert!((70..=105).contains(&reached), "{reached} of 100");
    fleet.reconnect();
    fleet.advance(seconds(8), &load);
    assert_limits_kept(&fleet, 1, 10.0);
}

#[test]
fn a_limit_that_is_no_longer_named_ends_at_all_hosts() {
    let load = [("lookup", 60.0)];
    let mut fleet = limited_fleet(9, 2, 1.3, &load);
    fleet.advance(seconds(6), &load);
    fleet.limits.clear();
    fleet.advance(seconds(4), &load);
    let before = fleet.counts_of("lookup").refused;
    fleet.advance(seconds(4), &load);
    assert_eq!(fleet.counts_of("lookup").refused, before);
    for host in &fleet.hosts {
        assert_eq!(host.controller.named_limits(), []);
    }
}

#[test]
fn an_unused_upstream_gets_a_request_that_checks_its_limit() {
    let load = [("lookup", 20.0)];
    let mut fleet = Fleet::new(9, 18, 1);
    fleet.advance(seconds(2), &load);
    fleet.limits.insert(replica(0), 0.5);
    fleet.advance(seconds(12), &load);
    let limited = |fleet: &Fleet| {
        let hosts = fleet.hosts.iter();
        let known = hosts.filter(|host| !host.controller.named_limits().is_empty());
        known.count()
    };
    assert_eq!(limited(&fleet), 9);
    fleet.limits.clear();
    fleet.advance(seconds(15), &load);
    assert_eq!(limited(&fleet), 0);
}

#[test]
fn a_host_that_starts_learns_the_limits_from_others() {
    let load = [("lookup", 30.0)];
    let mut fleet = Fleet::new(9, 6, 1);
    fleet.advance(seconds(2), &load);
    fleet.limits.insert(replica(0), 0.5);
    fleet.advance(seconds(8), &load);
    fleet.restart(4);
    fleet.advance(seconds(2), &[]);
    let known = fleet.hosts[4].controller.named_limits();
    assert_eq!(known, [(replica(0), Rate::per_second(0.5).unwrap())]);
}

#[test]
fn a_request_without_a_token_uses_another_upstream_in_its_first_attempt() {
    let mut host = Host::new(1);
    respond_with_limit(&mut host, "shop-0", Some(0.0));
    respond_with_limit(&mut host, "shop-1", Some(0.0));
    for _ in 0..10 {
        let (request, actions) = host.ask(lookup());
        let order = sent(&actions).unwrap();
        assert_eq!(order.upstream.name(), "shop-2");
        assert_eq!(order.inputs.attempt, 1);
        host.finish(&order, request);
    }
}

#[test]
fn a_request_that_gets_no_token_in_time_is_refused_with_a_retry_time() {
    let mut host = Host::new(1);
    for number in 0..3 {
        respond_with_limit(&mut host, &format!("shop-{number}"), Some(0.0));
    }
    let (_, actions) = host.ask(lookup());
    assert_eq!(sent(&actions), None);
    host.actions.clear();
    host.advance(500);
    let refusal = refused(&host.actions).unwrap();
    assert_eq!(refusal.reason, RefusalReason::UpstreamLimited);
    assert_eq!(refusal.verdict, Verdict::NotRun);
    assert!(refusal.retry_after.unwrap() >= seconds(8));
}

#[test]
fn a_response_to_an_earlier_request_changes_no_limit() {
    let mut host = Host::new(1);
    let later = host.now + seconds(2);
    host.now = later;
    let limit_change = |actions: &[Action]| {
        actions.iter().find_map(|action| match action {
            Action::NoteLimit(change) => Some((change.limit, change.source.clone())),
            _ => None,
        })
    };
    let actions = respond_with_limit_as_of(&mut host, "shop-0", Some(2.0), later);
    let rate = Rate::per_second(2.0);
    assert_eq!(limit_change(&actions), Some((rate, NoticeSource::Own)));
    let earlier = later - seconds(1);
    assert_eq!(
        limit_change(&respond_with_limit_as_of(
            &mut host, "shop-0", None, earlier
        )),
        None
    );
    assert_eq!(
        limit_change(&respond_with_limit_as_of(
            &mut host,
            "shop-0",
            Some(9.0),
            earlier
        )),
        None
    );
    let actions = respond_with_limit_as_of(&mut host, "shop-0", None, later);
    assert_eq!(limit_change(&actions), Some((None, NoticeSource::Own)));
}

/// A random series of disturbances of a fleet whose replicas name limits.
#[derive(Clone, Debug)]
struct DisturbanceSeries {
    hosts: usize,
    datagram_loss: f64,
    per_s: f64,
    replicas: usize,
    seed: u64,
    /// Kind and host of each disturbance.
    steps: Vec<(u8, usize)>,
}

impl Arbitrary for DisturbanceSeries {
    fn arbitrary(g: &mut Gen) -> Self {
        let steps = (0..6)
            .map(|_| (u8::arbitrary(g), usize::arbitrary(g)))
            .collect();
        Self {
            hosts: *g.choose(&[6, 9, 14]).unwrap(),
            datagram_loss: *g.choose(&[0.0, 0.03, 0.3]).unwrap(),
            per_s: *g.choose(&[0.2, 0.7, 1.3, 3.0, 6.0, 20.0, 60.0]).unwrap(),
            replicas: *g.choose(&[1, 3]).unwrap(),
            seed: u64::arbitrary(g),
            steps,
        }
    }
}

impl DisturbanceSeries {
    fn keeps_limits(&self) -> bool {
        let load = [("question", 10.0), ("lookup", 50.0)];
        let mut fleet = Fleet::new(self.hosts, self.replicas, self.seed);
        fleet.advance(seconds(2), &load);
        fleet.datagram_loss = self.datagram_loss;
        for number in 0..self.replicas {
            fleet.limits.insert(replica(number), self.per_s);
        }
        for (kind, place) in &self.steps {
            let host = place % self.hosts;
            match kind % 5 {
                0 => fleet.restart(host),
                1 => fleet.freeze(host),
                2 => (0..self.hosts).for_each(|host| fleet.thaw_if_frozen(host)),
                3 => fleet.isolate(&(0..=host / 2).collect::<Vec<_>>()),
                _ => fleet.reconnect(),
            }
            fleet.advance(Duration::from_millis(1_500), &load);
        }
        let most = (0..self.replicas).map(|number| fleet.max_requests_in_4_s(&replica(number)));
        let most = most.max().unwrap_or_default();
        most <= max_allowed_in_4_s(self.per_s)
    }
}

#[test]
fn limits_are_kept_while_hosts_freeze_restart_and_are_partitioned() {
    fn holds(disturbances: DisturbanceSeries) -> bool {
        disturbances.keeps_limits()
    }
    QuickCheck::new()
        .tests(30)
        .quickcheck(holds as fn(DisturbanceSeries) -> bool);
}
