//! Hosts that lose their paths to upstreams while other hosts keep theirs.

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

/// Time after the begin of a cut from which hosts must serve as others do.
const LEARNED: Duration = Duration::from_secs(3);

/// Length of a cut.
const CUT: Duration = Duration::from_secs(8);

/// Time in which a request that came last ends.
const ENDED: Duration = Duration::from_secs(1);

/// Time in which all hosts have heard of each other.
const ACQUAINTED: Duration = Duration::from_secs(5);

/// Requests a second at each host.
const PER_HOST_S: f64 = 10.0;

/// Part of what other hosts serve that hosts without a path must serve.
const SERVED_PART: f64 = 0.9;

/// Part of the first tries at hosts without a path that may fail.
const FAILED_PART: f64 = 0.02;

/// Plays a cut, and gives the moment at which it began.
fn play(world: &mut World, hosts: &[usize], replicas: &[usize], refuses: bool) -> Time {
    let began = world.now;
    world.cut(hosts, replicas, refuses, CUT);
    world.advance(CUT, PER_HOST_S);
    began
}

/// First tries from the moment on at which hosts must have learned of a cut are served as well as
/// they would be elsewhere.
fn assert_served(world: &World, began: Time, hosts: &[usize], what: &str) {
    let (from, until) = (began + LEARNED, began + CUT - ENDED);
    let cut = world.request_counts(from, until, |host| hosts.contains(&host));
    let others = world.request_counts(from, until, |host| !hosts.contains(&host));
    let part = |served: usize, all: usize| served as f64 / all.max(1) as f64;
    let served = part(cut.served, cut.total);
    assert!(cut.total > 0, "{what}: nothing was asked");
    assert!(
        others.total == 0 || served >= SERVED_PART * part(others.served, others.total),
        "{what}: {cut:?}, others {others:?}"
    );
    assert!(1.0 - served <= FAILED_PART, "{what}: {cut:?}");
}

fn acquainted(hosts: usize, seed: u64) -> World {
    let mut world = World::new(hosts, seed);
    world.advance(ACQUAINTED, PER_HOST_S);
    world
}

/// Hosts to be cut off, by how many there are.
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
    for (what, cut) in cuts_of(&World::new(hosts, 1)) {
        let mut world = acquainted(hosts, 1);
        let began = play(&mut world, &cut, &World::all_replicas(), refuses);
        assert_served(&world, began, &cut, &format!("{hosts} hosts, {what}"));
    }
}

/// Guards against callers of hosts that are cut off being served by nobody.
#[test]
fn hosts_without_a_path_serve_like_others_where_it_is_silent() {
    for hosts in [6, 22] {
        cuts_are_served(hosts, false);
    }
}

#[test]
fn hosts_without_a_path_serve_like_others_where_it_refuses() {
    for hosts in [6, 22] {
        cuts_are_served(hosts, true);
    }
}

/// Guards against indirect paths that are known only where notes come often.
#[test]
fn many_hosts_without_a_path_serve_like_others() {
    for hosts in [66, 200] {
        let mut world = acquainted(hosts, 3);
        let cut = world.hosts_in(DOMAINS[1]);
        let began = play(&mut world, &cut, &World::all_replicas(), false);
        assert_served(&world, began, &cut, &format!("{hosts} hosts"));
    }
}

/// Guards against a cut from some upstreams that is taken for one from all.
#[test]
fn a_host_without_a_path_to_some_upstreams_uses_its_own_paths_to_the_others() {
    let mut world = acquainted(6, 5);
    let some: Vec<usize> = (0..REPLICAS / 4).collect();
    let began = play(&mut world, &[0, 1], &some, false);
    assert_served(&world, began, &[0, 1], "some upstreams");
    let cut = world.request_counts(began, began + CUT, |host| host < 2);
    assert!(world.indirect_attempts > 0, "no indirect path");
    assert!(
        world.indirect_attempts * 2 < cut.total,
        "{} of {cut:?}",
        world.indirect_attempts
    );
}

/// Guards against indirect paths that are kept when the own paths are restored.
#[test]
fn hosts_use_their_own_paths_again_within_a_second_after_a_cut() {
    let mut world = acquainted(22, 7);
    let cut: Vec<usize> = (0..7).collect();
    play(&mut world, &cut, &World::all_replicas(), false);
    world.advance(Duration::from_secs(1), PER_HOST_S);
    let before = world.indirect_attempts;
    world.advance(Duration::from_secs(2), PER_HOST_S);
    assert_eq!(world.indirect_attempts, before);
    for host in &world.hosts {
        assert!(host.controller.out_of_reach().is_empty());
    }
}

/// Guards against hosts that take upstreams which are down for a loss of their own paths.
#[test]
fn upstreams_that_no_host_reaches_are_not_out_of_reach_of_one() {
    let mut world = acquainted(6, 9);
    let all: Vec<usize> = (0..6).collect();
    play(&mut world, &all, &[0, 1], false);
    for host in &world.hosts {
        assert!(host.controller.out_of_reach().is_empty());
    }
    let mut world = acquainted(6, 9);
    play(&mut world, &all, &World::all_replicas(), true);
    let began = world.now;
    world.advance(Duration::from_secs(6), PER_HOST_S);
    let after = world.request_counts(began + LEARNED, world.now - ENDED, |_| true);
    assert_eq!(after.served, after.total);
}

/// Guards against hosts that wait for the one host through which they were served.
#[test]
fn a_host_that_ends_is_no_way_any_more() {
    for dead in 1..6 {
        let mut world = acquainted(6, 11);
        world.cut(&[0], &World::all_replicas(), false, CUT);
        world.advance(LEARNED, PER_HOST_S);
        world.stopped_hosts.insert(dead);
        let began = world.now;
        world.advance(CUT - LEARNED, PER_HOST_S);
        let tries = world.request_counts(began, world.now - ENDED, |host| host == 0);
        assert_eq!(tries.served, tries.total, "without host {dead}");
    }
}

/// Guards against cuts that follow each other, overlap, and take other hosts each time.
#[test]
fn random_cuts_are_served() {
    for seed in 0..12 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts = rng.random_range(4..16);
        let mut world = acquainted(hosts, seed);
        for number in 0..3 {
            let count = rng.random_range(1..hosts);
            let cut = (0..hosts).choose_multiple(&mut rng, count);
            let refuses = rng.random();
            let began = play(&mut world, &cut, &World::all_replicas(), refuses);
            let what = format!("seed {seed}, cut {number}, {hosts} hosts, {cut:?}, {refuses}");
            assert_served(&world, began, &cut, &what);
            world.advance(
                Duration::from_millis(rng.random_range(0..2_000)),
                PER_HOST_S,
            );
        }
    }
}

/// Guards against bytes between failure domains where hosts of the own one have a path.
#[test]
fn the_way_leads_through_the_own_failure_domain_where_it_can() {
    let mut world = acquainted(9, 13);
    world.cut(&[0], &World::all_replicas(), false, CUT);
    world.advance(LEARNED, PER_HOST_S);
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

/// Finds the path of a host to an upstream lost, as another host connects to it.
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

/// Guards against requests that wait for the kernel to take a peer for dead, where it is known that
/// they could be answered elsewhere.
#[test]
fn requests_that_may_be_repeated_do_not_wait_on_a_lost_path() {
    let mut host = Host::new(0);
    let (repeatable, actions) = host.ask(lookup());
    assert!(sent(&actions).is_some());
    host.ask(order());
    host.advance(2_000);
    assert_eq!(abandoned(&mut host), [], "its path is not lost");
    let others = (0..3).map(|number| format!("shop-{number}").parse().unwrap());
    for other in others {
        lose_path(&mut host, &other);
    }
    host.advance(200);
    assert_eq!(abandoned(&mut host), [repeatable]);
    host.advance(1_000);
    assert_eq!(abandoned(&mut host), [], "it is given up once");
}

/// Guards against giving up what another host carries.
#[test]
fn a_request_that_goes_through_another_host_is_not_given_up() {
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
