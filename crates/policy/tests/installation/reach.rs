//! Hosts that lose their network paths to upstreams while other hosts keep theirs.

use {
    crate::{
        service_world::{DOMAINS, REPLICAS, World, domain_of},
        support::{Host, TestRequest, address, lookup, order, sent},
    },
    policy::{Action, Event},
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom},
    std::time::Duration,
    types::prelude::*,
};

/// Time after the start of a cut by which hosts must have detected it and serve like other hosts.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// Length of a network cut.
const CUT_DURATION: Duration = Duration::from_secs(8);

/// Time in which a request ends. Later requests may not have ended when a test counts them.
const REQUEST_DURATION: Duration = Duration::from_secs(1);

/// Time in which all hosts have received notes from each other.
const WARM_UP: Duration = Duration::from_secs(5);

/// Requests per second at each host.
const REQUESTS_PER_HOST_S: f64 = 10.0;

/// Share of requests that hosts without a path must serve, relative to the share that other hosts
/// serve.
const MIN_SERVED_SHARE: f64 = 0.9;

/// Share of the requests of callers that may fail at hosts without a path.
const MAX_FAILED_SHARE: f64 = 0.02;

/// Runs the world through a cut, and returns the time at which the cut started. With `refuses`,
/// connections across the cut are refused; otherwise their packets are lost.
fn play_cut(world: &mut World, hosts: &[usize], replicas: &[usize], refuses: bool) -> Time {
    let began = world.now;
    world.cut(hosts, replicas, refuses, CUT_DURATION);
    world.advance(CUT_DURATION, REQUESTS_PER_HOST_S);
    began
}

/// Checks that, once hosts must have detected a cut, requests at the hosts without a path are
/// served as well as at other hosts.
fn assert_served(world: &World, began: Time, hosts: &[usize], label: &str) {
    let (from, until) = (
        began + DETECTION_TIME,
        began + CUT_DURATION - REQUEST_DURATION,
    );
    let cut = world.request_counts(from, until, |host| hosts.contains(&host));
    let others = world.request_counts(from, until, |host| !hosts.contains(&host));
    let share = |served: usize, all: usize| served as f64 / all.max(1) as f64;
    let served = share(cut.served, cut.total);
    assert!(cut.total > 0, "{label}: no request arrived");
    assert!(
        others.total == 0 || served >= MIN_SERVED_SHARE * share(others.served, others.total),
        "{label}: {cut:?}, others {others:?}"
    );
    assert!(1.0 - served <= MAX_FAILED_SHARE, "{label}: {cut:?}");
}

fn warmed_up_world(hosts: usize, seed: u64) -> World {
    let mut world = World::new(hosts, seed);
    world.advance(WARM_UP, REQUESTS_PER_HOST_S);
    world
}

/// Sets of hosts to be cut off, with their descriptions.
fn cuts_of(world: &World) -> Vec<(&'static str, Vec<usize>)> {
    let count = world.hosts.len();
    let own_domain = world.hosts_in(DOMAINS[0]);
    vec![
        ("one host", vec![0]),
        ("a third of the hosts", (0..count.div_ceil(3)).collect()),
        ("all but one of a domain", own_domain[1..].to_vec()),
        ("a whole domain", own_domain),
        ("all but one host", (1..count).collect()),
    ]
}

fn cuts_are_served(hosts: usize, refuses: bool) {
    for (label, cut) in cuts_of(&World::new(hosts, 1)) {
        let mut world = warmed_up_world(hosts, 1);
        let began = play_cut(&mut world, &cut, &World::all_replicas(), refuses);
        assert_served(&world, began, &cut, &format!("{hosts} hosts, {label}"));
    }
}

/// Guards against failed requests at hosts without a path to upstreams that other hosts reach.
#[test]
fn hosts_without_a_path_serve_like_others_where_packets_are_lost() {
    for hosts in [6, 22] {
        cuts_are_served(hosts, false);
    }
}

#[test]
fn hosts_without_a_path_serve_like_others_where_connections_are_refused() {
    for hosts in [6, 22] {
        cuts_are_served(hosts, true);
    }
}

/// Guards against indirect paths that are found only in small installations, whose hosts exchange
/// notes often.
#[test]
fn many_hosts_without_a_path_serve_like_others() {
    for hosts in [66, 200] {
        let mut world = warmed_up_world(hosts, 3);
        let cut = world.hosts_in(DOMAINS[1]);
        let began = play_cut(&mut world, &cut, &World::all_replicas(), false);
        assert_served(&world, began, &cut, &format!("{hosts} hosts"));
    }
}

/// Guards against treating a cut from some upstreams as a cut from all upstreams.
#[test]
fn a_host_without_a_path_to_some_upstreams_uses_its_own_paths_to_the_others() {
    let mut world = warmed_up_world(6, 5);
    let some: Vec<usize> = (0..REPLICAS / 4).collect();
    let began = play_cut(&mut world, &[0, 1], &some, false);
    assert_served(&world, began, &[0, 1], "some upstreams");
    let cut = world.request_counts(began, began + CUT_DURATION, |host| host < 2);
    assert!(
        world.indirect_attempts > 0,
        "no request took an indirect path"
    );
    assert!(
        world.indirect_attempts * 2 < cut.total,
        "{} of {cut:?}",
        world.indirect_attempts
    );
}

/// Guards against using indirect paths after the direct paths are restored.
#[test]
fn hosts_use_their_own_paths_again_within_a_second_after_a_cut() {
    let mut world = warmed_up_world(22, 7);
    let cut: Vec<usize> = (0..7).collect();
    play_cut(&mut world, &cut, &World::all_replicas(), false);
    world.advance(Duration::from_secs(1), REQUESTS_PER_HOST_S);
    let before = world.indirect_attempts;
    world.advance(Duration::from_secs(2), REQUESTS_PER_HOST_S);
    assert_eq!(world.indirect_attempts, before);
    for host in &world.hosts {
        assert!(host.controller.out_of_reach().is_empty());
    }
}

/// Guards against a host treating upstreams that are down as a loss of its own paths.
#[test]
fn upstreams_that_no_host_reaches_are_not_out_of_reach_of_one() {
    let mut world = warmed_up_world(6, 9);
    let all: Vec<usize> = (0..6).collect();
    play_cut(&mut world, &all, &[0, 1], false);
    for host in &world.hosts {
        assert!(host.controller.out_of_reach().is_empty());
    }
    let mut world = warmed_up_world(6, 9);
    play_cut(&mut world, &all, &World::all_replicas(), true);
    let began = world.now;
    world.advance(Duration::from_secs(6), REQUESTS_PER_HOST_S);
    let after = world.request_counts(began + DETECTION_TIME, world.now - REQUEST_DURATION, |_| {
        true
    });
    assert_eq!(after.served, after.total);
}

/// Guards against waiting for a stopped host that was the indirect path so far.
#[test]
fn a_stopped_host_is_no_longer_used_as_an_indirect_path() {
    for dead in 1..6 {
        let mut world = warmed_up_world(6, 11);
        world.cut(&[0], &World::all_replicas(), false, CUT_DURATION);
        world.advance(DETECTION_TIME, REQUESTS_PER_HOST_S);
        world.stopped_hosts.insert(dead);
        let began = world.now;
        world.advance(CUT_DURATION - DETECTION_TIME, REQUESTS_PER_HOST_S);
        let tries = world.request_counts(began, world.now - REQUEST_DURATION, |host| host == 0);
        assert_eq!(tries.served, tries.total, "without host {dead}");
    }
}

/// Guards against failed requests during successive cuts that each affect other hosts.
#[test]
fn random_cuts_are_served() {
    for seed in 0..12 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = rng.random_range(4..16);
        let mut world = warmed_up_world(hosts, seed);
        for number in 0..3 {
            let count = rng.random_range(1..hosts);
            let cut = (0..hosts).choose_multiple(&mut rng, count);
            let refuses = rng.random();
            let began = play_cut(&mut world, &cut, &World::all_replicas(), refuses);
            let label = format!("seed {seed}, cut {number}, {hosts} hosts, {cut:?}, {refuses}");
            assert_served(&world, began, &cut, &label);
            world.advance(
                Duration::from_millis(rng.random_range(0..2_000)),
                REQUESTS_PER_HOST_S,
            );
        }
    }
}

/// Guards against traffic between failure domains when hosts of the own domain have a path.
#[test]
fn indirect_paths_prefer_the_own_failure_domain() {
    let mut world = warmed_up_world(9, 13);
    world.cut(&[0], &World::all_replicas(), false, CUT_DURATION);
    world.advance(DETECTION_TIME, REQUESTS_PER_HOST_S);
    let (_, actions) = world.hosts[0].ask(TestRequest::call("lookup"));
    let paths = sent(&actions).unwrap().paths;
    let through = |host: &usize| paths.contains(&Path::Through(address(*host)));
    let used: Vec<usize> = (1..9).filter(through).collect();
    let (near, far): (Vec<usize>, Vec<usize>) = used
        .iter()
        .partition(|host| domain_of(**host) == domain_of(0));
    assert_eq!((near.len(), far.len()), (2, 1));
    assert_eq!(paths[2], Path::Through(address(far[0])));
    assert_eq!(paths[3], Path::Direct);
}

/// Reports that the direct path of a host to an upstream failed while another host connected to
/// it.
fn lose_path(host: &mut Host, upstream: &UpstreamId) {
    let tried = |path, outcome| PathAttempt { outcome, path };
    host.handle(Event::PathsTried {
        request: None,
        attempts: vec![
            tried(Path::Direct, PathOutcome::NoAnswer),
            tried(Path::Through(address(1)), PathOutcome::Connected),
        ],
        upstream: upstream.clone(),
    });
}

fn abandoned(host: &mut Host) -> Vec<RequestId> {
    let actions = std::mem::take(&mut host.actions).into_iter();
    let requests = actions.filter_map(|action| match action {
        Action::Abandon { request, .. } => Some(request),
        _ => None,
    });
    requests.collect()
}

/// Guards against requests that wait for a TCP timeout on a lost path although another upstream
/// could answer them.
#[test]
fn idempotent_requests_do_not_wait_on_a_lost_path() {
    let mut host = Host::new(0);
    let (repeatable, actions) = host.ask(lookup());
    assert!(sent(&actions).is_some());
    host.ask(order());
    host.advance(2_000);
    assert_eq!(abandoned(&mut host), [], "the path is not lost yet");
    let others = (0..3).map(|number| format!("shop-{number}").parse().unwrap());
    for other in others {
        lose_path(&mut host, &other);
    }
    host.advance(200);
    assert_eq!(abandoned(&mut host), [repeatable]);
    host.advance(1_000);
    assert_eq!(
        abandoned(&mut host),
        [],
        "the request is abandoned only once"
    );
}

/// Guards against abandoning a request that another host forwards.
#[test]
fn a_request_on_an_indirect_path_is_not_abandoned() {
    let mut host = Host::new(0);
    let (request, actions) = host.ask(lookup());
    let upstream = sent(&actions).unwrap().upstream;
    host.handle(Event::PathsTried {
        request: Some(request),
        attempts: vec![PathAttempt {
            outcome: PathOutcome::Connected,
            path: Path::Through(address(1)),
        }],
        upstream: upstream.clone(),
    });
    lose_path(&mut host, &upstream);
    host.advance(2_000);
    assert_eq!(abandoned(&mut host), []);
}
