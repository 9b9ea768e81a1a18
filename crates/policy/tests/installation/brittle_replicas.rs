//! Brittle replicas: they crash if they have to reject more than a number of requests per second.

use {
    crate::{
        service_world::{REPLICAS, World},
        support::{Host, engines, lookup, sent},
    },
    policy::Event,
    std::time::Duration,
    types::{AdvertisedLimit, prelude::*},
};

/// Slots of a replica.
const SLOTS: usize = 6;

/// Average time in which a replica responds.
const RESPONSE_TIME: Duration = Duration::from_millis(120);

/// Time that hosts get to learn that replicas are brittle.
const LEARNING_TIME: Duration = Duration::from_secs(2);

/// Duration of a measured run with brittle replicas.
const RUN_DURATION: Duration = Duration::from_secs(15);

/// Crashes allowed in one run, a part of what an installation allows.
const MAX_CRASHES: usize = 2 + REPLICAS / 20;

/// Share of the requests that has to be served, compared with replicas that are not brittle.
const MIN_SERVED_SHARE: f64 = 0.9;

/// Returns hosts under a usual load of half the capacity, with replicas that are not yet brittle.
fn warmed_up(hosts: usize, seed: u64) -> World {
    let mut world = World::with_slots(hosts, SLOTS, seed);
    world.mean_response_time = RESPONSE_TIME;
    world.advance(Duration::from_secs(3), requests_per_host_s(hosts, 0.5));
    world
}

/// Requests per second and host that add up to a share of the capacity of all replicas.
fn requests_per_host_s(hosts: usize, load: f64) -> f64 {
    let per_s = (REPLICAS * SLOTS) as f64 / RESPONSE_TIME.as_secs_f64();
    per_s * load / hosts as f64
}

/// Makes the replicas report that they are brittle, and removes their queues when the hosts have
/// learned of it.
fn become_brittle(world: &mut World, rejections_per_s: f64, load: f64) {
    let hosts = world.hosts.len();
    for replica in &mut world.replicas {
        replica.rejection_limit_per_s = Some(rejections_per_s);
    }
    world.advance(LEARNING_TIME, requests_per_host_s(hosts, load));
    world.make_brittle(&World::all_replicas(), Some(rejections_per_s));
}

/// Runs a load, given as a share of the capacity. Returns the crashes and the share of the requests
/// that were served, without those of the last 2 seconds, which may still be running.
fn run_load(world: &mut World, load: f64) -> (usize, f64) {
    let (from, crashes) = (world.now, world.crash_count());
    let hosts = world.hosts.len();
    world.advance(RUN_DURATION, requests_per_host_s(hosts, load));
    let tries = world.request_counts(from, world.now - Duration::from_secs(2), |_| true);
    (
        world.crash_count() - crashes,
        tries.served as f64 / tries.total as f64,
    )
}

/// Guards against replicas that crash again and again because hosts keep sending requests to full
/// replicas.
#[test]
fn brittle_replicas_survive_and_serve_as_much_as_others() {
    for load in [0.9, 1.5, 3.0] {
        let (_, usual) = run_load(&mut warmed_up(8, 1), load);
        for brittle in [1.0, 5.0, 20.0] {
            let mut world = warmed_up(8, 1);
            become_brittle(&mut world, brittle, 0.5);
            let (crashes, served) = run_load(&mut world, load);
            let what = format!("load {load}, {brittle} a second: {crashes} crashes, {served:.3}");
            assert!(
                crashes <= if load < 1.0 { 0 } else { MAX_CRASHES },
                "{what}"
            );
            assert!(served >= MIN_SERVED_SHARE * usual, "{what} of {usual:.3}");
        }
    }
}

/// Guards against crashes by the requests that already wait at full replicas when the hosts learn
/// that the replicas are brittle.
#[test]
fn replicas_that_become_brittle_during_a_burst_survive() {
    for seed in 0..4 {
        let mut world = warmed_up(8, seed);
        world.advance(Duration::from_secs(2), requests_per_host_s(8, 2.0));
        become_brittle(&mut world, 2.0, 2.0);
        let (crashes, _) = run_load(&mut world, 2.0);
        assert!(crashes <= MAX_CRASHES, "seed {seed}: {crashes} crashes");
    }
}

/// Guards against hosts that use the share of hosts which they no longer observe.
#[test]
fn brittle_replicas_survive_while_hosts_end_and_others_are_isolated() {
    for seed in 0..4 {
        let mut world = warmed_up(8, seed);
        become_brittle(&mut world, 2.0, 0.5);
        world.hosts_losing_datagrams.extend([0, 1, 2]);
        world.stopped_hosts.insert(7);
        let (crashes, _) = run_load(&mut world, 1.5);
        assert!(crashes <= MAX_CRASHES, "seed {seed}: {crashes} crashes");
    }
}

/// Guards against applying the rules for brittle replicas to the replicas that are not brittle.
#[test]
fn replicas_that_are_not_brittle_are_used_beyond_a_hosts_share() {
    let mut world = warmed_up(8, 3);
    for replica in &mut world.replicas[..6] {
        replica.rejection_limit_per_s = Some(2.0);
    }
    world.advance(LEARNING_TIME, requests_per_host_s(8, 0.5));
    world.make_brittle(&(0..6).collect::<Vec<_>>(), Some(2.0));
    let (crashes, served) = run_load(&mut world, 0.9);
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    assert!(served >= MIN_SERVED_SHARE, "{served:.3}");
}

/// Guards against applying the rules for brittle replicas to those that are no longer brittle.
#[test]
fn replicas_that_are_no_longer_brittle_are_used_as_before() {
    let mut world = warmed_up(8, 5);
    become_brittle(&mut world, 1.0, 0.5);
    run_load(&mut world, 1.5);
    world.make_brittle(&World::all_replicas(), None);
    world.advance(LEARNING_TIME, requests_per_host_s(8, 0.5));
    let (_, served) = run_load(&mut world, 1.0);
    assert!(served >= MIN_SERVED_SHARE, "{served:.3}");
}

/// Guards against shares that are too small to serve any request, where there are about as many
/// hosts as slots.
#[test]
fn brittle_replicas_serve_as_much_with_as_many_hosts_as_slots() {
    let (_, usual) = run_load(&mut warmed_up(66, 7), 1.5);
    let mut world = warmed_up(66, 7);
    become_brittle(&mut world, 5.0, 0.5);
    let (crashes, served) = run_load(&mut world, 1.5);
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    assert!(
        served >= MIN_SERVED_SHARE * usual,
        "{served:.3} of {usual:.3}"
    );
}

/// Guards against hosts without a slot of their own that all send requests at the same time.
#[test]
fn brittle_replicas_survive_more_hosts_than_slots() {
    for hosts in [100, 200] {
        let mut world = warmed_up(hosts, 7);
        become_brittle(&mut world, 5.0, 0.5);
        let (crashes, served) = run_load(&mut world, 1.5);
        assert!(crashes <= MAX_CRASHES, "{hosts} hosts: {crashes} crashes");
        assert!(served > 0.0, "{hosts} hosts: nobody is served");
    }
}

/// Guards against a division by zero slots when all brittle upstreams are removed.
#[test]
fn all_brittle_upstreams_can_be_removed_while_requests_run_there() {
    let mut host = Host::new(0);
    let (_, actions) = host.ask(lookup());
    let sent_at = host.now;
    host.handle(Event::NoticeAnswered {
        notice: UpstreamNotice {
            rejection_limit: AdvertisedLimit::Valid(Rate::per_second(1.0).unwrap()),
            ..UpstreamNotice::default()
        },
        sent: sent_at,
        upstream: sent(&actions).unwrap().upstream,
    });
    host.read_directory(engines(3), &[]);
    host.advance(2_000);
    assert_eq!(host.controller.queued(), 0);
}
