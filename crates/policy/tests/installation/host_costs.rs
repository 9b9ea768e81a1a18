//! What one host stores and sends, by the size of the installation, in virtual time. Each host has
//! ten upstreams and one request per second.

use {
    crate::support::{Host, TestRequest, address, sent},
    config::{Engine, ServiceReplica, Upstream},
    peer::{LoadNote, PeerHost},
    policy::{Action, Event, UpstreamCensus, WorkingSet},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    types::{Listening, prelude::*},
};

const DOMAINS: [&str; 5] = ["north-a", "north-b", "north-c", "north-d", "north-e"];

/// IP and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

const HOSTS_TOKEN: &str = "hosts-of-the-test";

/// Time during which messages are counted.
const COUNTING_DURATION: Duration = Duration::from_secs(60);

/// The costs of a host, none of which may grow with the installation.
#[derive(Clone, Copy, Debug, Default)]
struct Costs {
    /// Upstreams that the host knows.
    known_upstreams: usize,
    /// Hosts to which the host sends load notes.
    note_partners: usize,
    note_bytes_per_s: usize,
    notes_per_min: usize,
    /// Datagrams that announce one leaving upstream.
    leaving_datagrams: usize,
    /// Datagrams that announce one crash.
    crash_datagrams: usize,
    /// Datagrams that announce a configuration version.
    version_datagrams: usize,
}

impl Costs {
    fn by_name(&self) -> [(&'static str, usize); 7] {
        [
            ("upstreams known", self.known_upstreams),
            ("hosts exchanging notes", self.note_partners),
            ("note bytes a second", self.note_bytes_per_s),
            ("notes a minute", self.notes_per_min),
            ("datagrams for a departure", self.leaving_datagrams),
            ("datagrams for a crash", self.crash_datagrams),
            ("datagrams for a version", self.version_datagrams),
        ]
    }
}

fn peers(count: usize) -> Vec<PeerHost> {
    let peers = (0..count).map(|number| PeerHost {
        address: address(number),
        failure_domain: DOMAINS[number % DOMAINS.len()].parse().unwrap(),
        host: format!("host-{number}").parse().unwrap(),
        leaving: false,
    });
    peers.collect()
}

/// An upstream of an installation. Every twentieth upstream is a service replica, the others are
/// engines.
fn upstream(number: usize) -> (UpstreamId, Upstream) {
    let failure_domain = DOMAINS[number / 20 % DOMAINS.len()].parse().unwrap();
    let address = address(number);
    let health_path = "/health".to_string();
    if number.is_multiple_of(20) {
        let replica = ServiceReplica {
            address,
            failure_domain,
            health_path,
            service: "shop".parse().unwrap(),
            slots: 6,
            software_version: None,
        };
        let id = format!("shop-{number}").parse().unwrap();
        return (id, Upstream::Service(replica));
    }
    let engine = Engine {
        address,
        checks_fence: false,
        failure_domain,
        health_path,
        link: None,
        memory: Some(Tokens::new(700_000)),
        models: BTreeSet::from(["pool".parse().unwrap()]),
        prompt_token_bytes: None,
        queue_bound: 64,
        resumes: false,
        slots: 32,
        software_version: None,
    };
    let id = format!("engine-{number}").parse().unwrap();
    (id, Upstream::Engine(engine))
}

fn service(upstream: &Upstream) -> &'static str {
    match upstream {
        Upstream::Engine(_) => "pool",
        Upstream::Service(_) => "shop",
    }
}

/// Returns the upstreams that hosts of the first failure domain know, out of `count` upstreams.
fn known_upstreams_of(count: usize) -> BTreeMap<UpstreamId, Upstream> {
    let all: Vec<(UpstreamId, Upstream)> = (0..count).map(upstream).collect();
    let mut census = UpstreamCensus::default();
    for (id, upstream) in &all {
        census.note(id.name(), service(upstream), upstream.failure_domain());
    }
    let working_set = WorkingSet::divide(&DOMAINS[0].parse().unwrap(), &census);
    let upstreams = all
        .into_iter()
        .filter(|(id, _)| census.level(id.name(), &working_set) <= WorkingSet::KNOWN_LEVEL);
    upstreams.collect()
}

/// Returns a host of an installation with `hosts` hosts.
fn host(hosts: usize) -> Host {
    let mut host = Host::new(0);
    host.read_directory(known_upstreams_of(10 * hosts), &[]);
    let peers = peers(hosts);
    host.handle(Event::PeersListed {
        total_hosts: Some(peers.len()),
        peers,
    });
    host.actions.clear();
    host
}

/// Counts the load notes that a host sends, and delivers an answer from each recipient.
fn count_and_answer_notes(host: &mut Host, costs: &mut Costs, bytes: &mut usize) {
    let mut sent: Vec<(SocketAddr, LoadNote)> = Vec::new();
    for action in std::mem::take(&mut host.actions) {
        if let Action::SendLoadNotes { notes } = action {
            sent.extend(notes);
        }
    }
    let others: BTreeSet<SocketAddr> = sent.iter().map(|(to, _)| *to).collect();
    costs.note_partners = costs.note_partners.max(others.len());
    costs.notes_per_min += sent.len();
    for (from, note) in sent {
        *bytes += note.to_datagram(HOSTS_TOKEN).len() + DATAGRAM_HEADER_BYTES;
        let note = LoadNote {
            host: host_at(from),
            loads: Vec::new(),
            reads: Vec::new(),
            sent_us: host.now.as_us(),
            ..note
        };
        host.handle(Event::LoadNoteReceived { from, note });
    }
}

/// Returns the host that listens at an address.
fn host_at(listens: SocketAddr) -> HostId {
    let number = (0..).find(|number| address(*number) == listens);
    format!("host-{}", number.unwrap()).parse().unwrap()
}

/// Sends one request per second, and counts the notes meanwhile.
fn serve_requests(host: &mut Host, costs: &mut Costs) {
    let mut bytes = 0;
    for second in 0..COUNTING_DURATION.as_secs() {
        let parts = [(second % 7, 13_000), (1_000 + second, 3_000)];
        let (request, actions) = host.ask(TestRequest::prompt("question", "first-key", &parts));
        let order = sent(&actions).unwrap();
        for _ in 0..8 {
            host.advance(100);
            count_and_answer_notes(host, costs, &mut bytes);
        }
        host.finish(&order, request);
        host.advance(200);
        count_and_answer_notes(host, costs, &mut bytes);
        let as_of = host.now;
        host.handle(Event::ConfigurationConfirmed { as_of });
    }
    costs.note_bytes_per_s = bytes / COUNTING_DURATION.as_secs() as usize;
}

/// Counts the datagrams sent in the next two seconds.
fn count_datagrams(host: &mut Host, count: impl Fn(&Action) -> usize) -> usize {
    host.advance(2_000);
    let as_of = host.now;
    host.handle(Event::ConfigurationConfirmed { as_of });
    let announced = host.actions.iter().map(count).sum();
    host.actions.clear();
    announced
}

fn announce_leaving(host: &mut Host) -> usize {
    let upstream = known_upstreams_of(100).into_keys().next().unwrap();
    let sent = host.now;
    host.handle(Event::DirectoryLost);
    host.handle(Event::NoticeAnswered {
        notice: UpstreamNotice {
            leaving: true,
            ..UpstreamNotice::default()
        },
        sent,
        upstream,
    });
    count_datagrams(host, |action| match action {
        Action::SendUpstreamNote { to, .. } => to.len(),
        _ => 0,
    })
}

fn announce_crash(host: &mut Host) -> usize {
    let ask = TestRequest::prompt("question", "first-key", &[(1, 500), (2, 100)]);
    let (request, actions) = host.ask(ask);
    let order = sent(&actions).unwrap();
    let (cause, verdict) = (FailureCause::Reset, Verdict::MayHaveRun);
    host.fail(&order, request, cause, verdict, false);
    let upstream = order.upstream;
    let listening = Listening::No;
    let actions = host.handle(Event::ListeningChecked {
        listening,
        upstream,
    });
    for action in actions {
        if let Action::CheckListening { upstream, .. } = action {
            let listening = Listening::Yes;
            host.handle(Event::ListeningChecked {
                listening,
                upstream,
            });
        }
    }
    count_datagrams(host, |action| match action {
        Action::SendCrashNote { to, .. } => to.len(),
        _ => 0,
    })
}

fn announce_version(host: &mut Host) -> usize {
    host.handle(Event::ConfigurationPacked(ConfigVersion::new(2)));
    count_datagrams(host, |action| match action {
        Action::SendVersionNote { to, .. } => to.len(),
        _ => 0,
    })
}

fn measure_costs(hosts: usize) -> Costs {
    let mut host = host(hosts);
    let mut costs = Costs {
        known_upstreams: known_upstreams_of(10 * hosts).len(),
        ..Costs::default()
    };
    serve_requests(&mut host, &mut costs);
    costs.version_datagrams = announce_version(&mut host);
    costs.leaving_datagrams = announce_leaving(&mut host);
    costs.crash_datagrams = announce_crash(&mut host);
    costs
}

/// Guards against a host whose state, messages or work grow with the installation: from some size
/// on the host has no time left for requests.
#[test]
fn the_costs_of_a_host_do_not_grow_with_the_installation() {
    let sizes = [100, 300, 985, 1_970];
    let by_size: Vec<Costs> = sizes.iter().map(|hosts| measure_costs(*hosts)).collect();
    let mut table = format!("{:26}", "hosts");
    table += &sizes.map(|hosts| format!("{hosts:>8}")).concat();
    for (line, (name, _)) in by_size[0].by_name().iter().enumerate() {
        let figures: Vec<String> = by_size
            .iter()
            .map(|costs| format!("{:>8}", costs.by_name()[line].1))
            .collect();
        table += &format!("\n{name:26}{}", figures.concat());
    }
    println!("{table}");
    let [.., single, double] = &by_size[..] else {
        panic!("four sizes")
    };
    for ((name, cost), (_, double_cost)) in single.by_name().into_iter().zip(double.by_name()) {
        // The names decide the sizes of the host groups and working sets, so these sizes vary.
        assert!(
            double_cost as f64 <= 1.25 * cost as f64,
            "{name} grows\n{table}"
        );
    }
}
