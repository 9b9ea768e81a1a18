//! Replicas that fall over when they have to reject more than so many requests a second.

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

/// Time in which a replica answers, on average.
const ANSWER: Duration = Duration::from_millis(120);

/// Time in which hosts learn that replicas are brittle.
const LEARNED: Duration = Duration::from_secs(2);

/// Time for which they are.
const BRITTLE: Duration = Duration::from_secs(15);

/// Falls that are borne in one such time, a part of what an installation allows.
const BORNE: usize = 2 + REPLICAS / 20;

/// Part of the first tries that are served as if replicas were not brittle.
const SERVED_PART: f64 = 0.9;

/// Hosts at which as much is asked as is usual, before replicas are brittle.
fn before(hosts: usize, seed: u64) -> World {
    let mut world = World::with_slots(hosts, SLOTS, seed);
    world.answer = ANSWER;
    world.pass(Duration::from_secs(3), per_host_s(hosts, 0.5));
    world
}

/// Requests a second at a host, for a part of what all replicas can do.
fn per_host_s(hosts: usize, load: f64) -> f64 {
    let per_s = (REPLICAS * SLOTS) as f64 / ANSWER.as_secs_f64();
    per_s * load / hosts as f64
}

/// Lets replicas say that they are brittle, and fewer wait there a little later.
fn become_brittle(world: &mut World, rejections_per_s: f64, load: f64) {
    let hosts = world.hosts.len();
    for replica in &mut world.replicas {
        replica.rejection_limit_per_s = Some(rejections_per_s);
    }
    world.pass(LEARNED, per_host_s(hosts, load));
    world.make_brittle(&World::all_replicas(), Some(rejections_per_s));
}

/// Falls, and the part of the first tries that were served, while so much is asked of what the
/// replicas can do.
fn play(world: &mut World, load: f64) -> (usize, f64) {
    let (from, falls) = (world.now, world.falls());
    let hosts = world.hosts.len();
    world.pass(BRITTLE, per_host_s(hosts, load));
    let tries = world.tries(from, world.now - Duration::from_secs(2), |_| true);
    (
        world.falls() - falls,
        tries.served as f64 / tries.all as f64,
    )
}

/// Guards against replicas that fall over again and again as hosts go on asking full ones.
#[test]
fn brittle_replicas_stand_and_do_as_much_as_others() {
    for load in [0.9, 1.5, 3.0] {
        let (_, usual) = play(&mut before(8, 1), load);
        for brittle in [1.0, 5.0, 20.0] {
            let mut world = before(8, 1);
            become_brittle(&mut world, brittle, 0.5);
            let (falls, served) = play(&mut world, load);
            let what = format!("load {load}, {brittle} a second: {falls} falls, {served:.3}");
            assert!(falls <= if load < 1.0 { 0 } else { BORNE }, "{what}");
            assert!(served >= SERVED_PART * usual, "{what} of {usual:.3}");
        }
    }
}

/// Guards against queues at replicas that were full before they were known to be brittle.
#[test]
fn brittle_replicas_stand_where_the_word_comes_in_the_middle_of_a_burst() {
    for seed in 0..4 {
        let mut world = before(8, seed);
        world.pass(Duration::from_secs(2), per_host_s(8, 2.0));
        become_brittle(&mut world, 2.0, 2.0);
        let (falls, _) = play(&mut world, 2.0);
        assert!(falls <= BORNE, "seed {seed}: {falls} falls");
    }
}

/// Guards against hosts that take the part of those which they do not observe.
#[test]
fn brittle_replicas_stand_while_hosts_end_and_others_are_cut_off() {
    for seed in 0..4 {
        let mut world = before(8, seed);
        become_brittle(&mut world, 2.0, 0.5);
        world.silent.extend([0, 1, 2]);
        world.dead.insert(7);
        let (falls, _) = play(&mut world, 1.5);
        assert!(falls <= BORNE, "seed {seed}: {falls} falls");
    }
}

/// Guards against a rule for some that binds all.
#[test]
fn replicas_that_are_not_brittle_are_used_beyond_a_hosts_part() {
    let mut world = before(8, 3);
    for replica in &mut world.replicas[..6] {
        replica.rejection_limit_per_s = Some(2.0);
    }
    world.pass(LEARNED, per_host_s(8, 0.5));
    world.make_brittle(&(0..6).collect::<Vec<_>>(), Some(2.0));
    let (falls, served) = play(&mut world, 0.9);
    assert!(falls <= BORNE, "{falls} falls");
    assert!(served >= SERVED_PART, "{served:.3}");
}

/// Guards against a caution that outlasts its reason.
#[test]
fn replicas_that_are_brittle_no_more_are_used_as_before() {
    let mut world = before(8, 5);
    become_brittle(&mut world, 1.0, 0.5);
    play(&mut world, 1.5);
    world.make_brittle(&World::all_replicas(), None);
    world.pass(LEARNED, per_host_s(8, 0.5));
    let (_, served) = play(&mut world, 1.0);
    assert!(served >= SERVED_PART, "{served:.3}");
}

/// Guards against shares too small to serve anybody where hosts are about as many as slots.
#[test]
fn brittle_replicas_do_as_much_before_as_many_hosts_as_slots() {
    let (_, usual) = play(&mut before(66, 7), 1.5);
    let mut world = before(66, 7);
    become_brittle(&mut world, 5.0, 0.5);
    let (falls, served) = play(&mut world, 1.5);
    assert!(falls <= BORNE, "{falls} falls");
    assert!(served >= SERVED_PART * usual, "{served:.3} of {usual:.3}");
}

/// Guards against hosts without a slot of their own that all ask at once.
#[test]
fn brittle_replicas_stand_before_more_hosts_than_slots() {
    for hosts in [100, 200] {
        let mut world = before(hosts, 7);
        become_brittle(&mut world, 5.0, 0.5);
        let (falls, served) = play(&mut world, 1.5);
        assert!(falls <= BORNE, "{hosts} hosts: {falls} falls");
        assert!(served > 0.0, "{hosts} hosts: nobody is served");
    }
}

/// Guards against a division of slots that are none, as all brittle upstreams are gone.
#[test]
fn a_host_bears_that_all_brittle_upstreams_are_gone_while_it_has_requests_there() {
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
    host.pass(2_000);
    assert_eq!(host.controller.queued(), 0);
}
