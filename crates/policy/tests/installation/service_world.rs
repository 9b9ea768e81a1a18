//! Hosts in several failure domains before the replicas of a service, in virtual time: connections
//! of a host's own can be cut, and another host can open one for it; replicas have room for so many
//! requests, and may fall over when they have to reject much.

use {
    crate::{
        served_replica::{Admission, ReplicaRequest, ServedReplica},
        support::{Ask, Host, address},
    },
    config::{ServiceReplica, Upstream},
    peer::PeerHost,
    policy::{Action, AttemptEnd, Event, SendOrder},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    types::{AdvertisedLimit, prelude::*},
};

pub const DOMAINS: [&str; 3] = ["north-a", "north-b", "north-c"];

/// Replicas of the service.
pub const REPLICAS: usize = 12;

/// Where replicas listen, apart from hosts.
const REPLICAS_AT: usize = 5_000;

const TICK: Duration = Duration::from_millis(20);

const DATAGRAM: Duration = Duration::from_millis(1);

/// Usual time in which a replica answers, on average.
const ANSWER: Duration = Duration::from_millis(30);

/// Head start of a path over the next one, and the time for all of them.
const HEAD_START: Duration = Duration::from_millis(60);
const OPEN_LIMIT: Duration = Duration::from_millis(300);

/// Time for which a host tries to connect for another one.
const TRANSIT_LIMIT: Duration = Duration::from_millis(200);

const CONNECT: Duration = Duration::from_millis(1);

/// Paths that are lost for a time.
#[derive(Clone, Debug)]
pub struct Cut {
    pub from: Time,
    pub hosts: BTreeSet<usize>,
    /// Whether connections are refused, rather than not answered.
    pub refuses: bool,
    pub replicas: BTreeSet<usize>,
    pub until: Time,
}

/// First tries of callers, and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tries {
    pub all: usize,
    pub served: usize,
}

enum Due {
    Asks {
        host: usize,
    },
    Ended {
        end: Box<AttemptEnd>,
        host: usize,
        order: Box<SendOrder>,
        request: RequestId,
    },
    Finishes {
        attempt: AttemptId,
        host: usize,
        replica: usize,
    },
    Happens {
        event: Box<Event>,
        host: usize,
    },
    Reaches {
        replica: usize,
        visit: ReplicaRequest,
    },
}

pub struct World {
    /// Time in which a replica answers, on average.
    pub answer: Duration,
    /// When each request arrived at which host.
    arrivals: BTreeMap<(usize, RequestId), Time>,
    pub cuts: Vec<Cut>,
    /// Hosts that do nothing, and answer nothing.
    pub dead: BTreeSet<usize>,
    due: BTreeMap<(Time, u64), Due>,
    pub hosts: Vec<Host>,
    next: u64,
    pub now: Time,
    pub replicas: Vec<ServedReplica>,
    rng: SmallRng,
    /// Requests that were served: when and where they arrived.
    served: BTreeSet<(Time, usize, RequestId)>,
    /// Hosts whose datagrams get nowhere.
    pub silent: BTreeSet<usize>,
    /// Attempts that connected through another host.
    pub through: usize,
    asked: Vec<(Time, usize, RequestId)>,
}

impl World {
    /// Hosts before replicas that always have room.
    pub fn new(hosts: usize, seed: u64) -> Self {
        Self::with_slots(hosts, 64, seed)
    }

    /// The same with so many slots of each replica.
    pub fn with_slots(hosts: usize, slots: usize, seed: u64) -> Self {
        let peers: Vec<PeerHost> = (0..hosts).map(peer).collect();
        let start = |number: usize| {
            let mut host = Host::new_in(domain_of(number), number as u64);
            host.read_directory(replicas(slots), &[]);
            host.handle(Event::PeersListed {
                total_hosts: Some(hosts),
                peers: peers.clone(),
            });
            host.actions.clear();
            host
        };
        Self {
            answer: ANSWER,
            arrivals: BTreeMap::new(),
            asked: Vec::new(),
            cuts: Vec::new(),
            dead: BTreeSet::new(),
            due: BTreeMap::new(),
            hosts: (0..hosts).map(start).collect(),
            next: 0,
            now: Time::from_ms(1_000),
            replicas: (0..REPLICAS)
                .map(|_| ServedReplica::new(slots, slots))
                .collect(),
            rng: SmallRng::seed_from_u64(seed),
            served: BTreeSet::new(),
            silent: BTreeSet::new(),
            through: 0,
        }
    }

    /// Cuts hosts off from replicas from now on.
    pub fn cut(&mut self, hosts: &[usize], replicas: &[usize], refuses: bool, span: Duration) {
        self.cuts.push(Cut {
            from: self.now,
            hosts: hosts.iter().copied().collect(),
            refuses,
            replicas: replicas.iter().copied().collect(),
            until: self.now + span,
        });
    }

    /// Lets time pass, with so many requests a second at each host.
    pub fn pass(&mut self, span: Duration, per_host_s: f64) {
        let end = self.now + span;
        while self.now < end {
            let next = self.now + TICK;
            for host in 0..self.hosts.len() {
                let mut expected = per_host_s * TICK.as_secs_f64();
                while self.rng.random::<f64>() < expected {
                    expected -= 1.0;
                    let after = TICK.mul_f64(self.rng.random());
                    self.add(after, Due::Asks { host });
                }
            }
            self.settle(next);
            self.now = next;
            for host in 0..self.hosts.len() {
                if next.as_us().is_multiple_of(1_000_000) {
                    self.tell(host, Event::ConfigurationConfirmed { as_of: next });
                }
                if next.as_us().is_multiple_of(500_000) {
                    let unix_ms = next.as_us() / 1_000;
                    self.tell(host, Event::TimeOfDay { unix_ms });
                }
                self.tell(host, Event::Ticked);
            }
        }
    }

    /// Lets replicas be brittle, and less wait there.
    pub fn make_brittle(&mut self, replicas: &[usize], rejections_per_s: Option<f64>) {
        for replica in replicas {
            let replica = &mut self.replicas[*replica];
            replica.rejection_limit_per_s = rejections_per_s;
            replica.max_waiting = if rejections_per_s.is_some() {
                0
            } else {
                replica.slots
            };
        }
    }

    pub fn falls(&self) -> usize {
        self.replicas.iter().map(|replica| replica.crashes).sum()
    }

    /// Requests that arrived in a span at hosts for which something holds.
    pub fn tries(&self, from: Time, until: Time, counts: impl Fn(usize) -> bool) -> Tries {
        let asked = self.asked.iter();
        let asked = asked.filter(|(at, host, _)| *at >= from && *at < until && counts(*host));
        asked.fold(Tries::default(), |tries, asked| Tries {
            all: tries.all + 1,
            served: tries.served + usize::from(self.served.contains(asked)),
        })
    }

    /// Numbers of the replicas.
    pub fn all_replicas() -> Vec<usize> {
        (0..REPLICAS).collect()
    }

    /// Hosts of a domain.
    pub fn hosts_in(&self, domain: &str) -> Vec<usize> {
        let hosts = 0..self.hosts.len();
        hosts.filter(|host| domain_of(*host) == domain).collect()
    }

    fn ask(&mut self, host: usize) {
        if self.dead.contains(&host) {
            return;
        }
        self.hosts[host].now = self.now;
        let (request, _) = self.hosts[host].ask(Ask::call("lookup"));
        self.arrivals.insert((host, request), self.now);
        self.asked.push((self.now, host, request));
        self.carry_out(host);
    }

    fn settle(&mut self, until: Time) {
        while let Some(entry) = self.due.first_entry() {
            let (at, _) = *entry.key();
            if at >= until {
                return;
            }
            let due = entry.remove();
            self.now = self.now.max(at);
            match due {
                Due::Asks { host } => self.ask(host),
                Due::Ended {
                    end,
                    host,
                    order,
                    request,
                } => {
                    if matches!(*end, AttemptEnd::Completed { .. }) {
                        let arrived = self.arrivals[&(host, request)];
                        self.served.insert((arrived, host, request));
                    }
                    let event = Event::AttemptEnded {
                        attempt: order.attempt,
                        end: *end,
                        request,
                    };
                    self.tell(host, event);
                }
                Due::Finishes {
                    attempt,
                    host,
                    replica,
                } => self.finish(replica, host, attempt),
                Due::Happens { event, host } => self.tell(host, *event),
                Due::Reaches { replica, visit } => self.reach(replica, visit),
            }
        }
    }

    fn reach(&mut self, replica: usize, visit: ReplicaRequest) {
        let (host, attempt) = (visit.host, visit.order.attempt);
        match self.replicas[replica].arrive(visit, self.now) {
            Admission::Crashed(there) => {
                for visit in there {
                    let failed = failed(FailureCause::Reset, Verdict::MayHaveRun);
                    self.end(visit, failed, CONNECT);
                }
            }
            Admission::Rejected(visit) => {
                self.say(replica, &visit);
                self.end(visit, failed(FailureCause::Busy, Verdict::NotRun), CONNECT);
            }
            Admission::Started => self.run(replica, host, attempt),
            Admission::Queued => {}
        }
    }

    fn run(&mut self, replica: usize, host: usize, attempt: AttemptId) {
        let takes = self.answer.mul_f64(self.rng.random_range(0.5..1.5));
        self.add(
            takes,
            Due::Finishes {
                attempt,
                host,
                replica,
            },
        );
    }

    fn finish(&mut self, replica: usize, host: usize, attempt: AttemptId) {
        let Some((ended, next)) = self.replicas[replica].finish(host, attempt) else {
            return;
        };
        if let Some(next) = next {
            self.run(replica, next.host, next.order.attempt);
        }
        self.say(replica, &ended);
        let end = AttemptEnd::Completed {
            response: None,
            longest_pause: Duration::ZERO,
            tokens: Tokens::default(),
        };
        self.end(ended, end, CONNECT);
    }

    /// Tells a host what the replica says of itself in the answer to a request.
    fn say(&mut self, replica: usize, visit: &ReplicaRequest) {
        let brittle = self.replicas[replica]
            .rejection_limit_per_s
            .and_then(Rate::per_second);
        if brittle.is_none() && visit.order.inputs.rejection_limit.is_none() {
            return;
        }
        let event = Event::NoticeAnswered {
            notice: UpstreamNotice {
                rejection_limit: brittle.map_or(AdvertisedLimit::Absent, AdvertisedLimit::Valid),
                ..UpstreamNotice::default()
            },
            sent: self.now - CONNECT,
            upstream: self::replica(replica),
        };
        self.happens(CONNECT, visit.host, event);
    }

    fn end(&mut self, visit: ReplicaRequest, end: AttemptEnd, after: Duration) {
        let ReplicaRequest {
            host,
            order,
            request,
        } = visit;
        let end = Box::new(end);
        self.add(
            after,
            Due::Ended {
                end,
                host,
                order,
                request,
            },
        );
    }

    fn tell(&mut self, host: usize, event: Event) {
        if self.dead.contains(&host) {
            return;
        }
        self.hosts[host].now = self.now;
        self.hosts[host].handle(event);
        self.carry_out(host);
    }

    fn carry_out(&mut self, host: usize) {
        for action in std::mem::take(&mut self.hosts[host].actions) {
            match action {
                Action::Send { order, request } => self.send(host, order, request),
                Action::CheckPath {
                    paths, upstream, ..
                } => {
                    let (_, tries, span) = self.open(host, &paths, &upstream);
                    let event = Event::PathsTried {
                        request: None,
                        attempts: tries,
                        upstream,
                    };
                    self.happens(span, host, event);
                }
                Action::Probe {
                    paths, upstream, ..
                } => {
                    let (path, _, span) = self.open(host, &paths, &upstream);
                    let healthy = path.is_some();
                    self.happens(span, host, Event::ProbeAnswered { healthy, upstream });
                }
                Action::SendLoadNotes { notes } => {
                    for (to, note) in notes {
                        let from = address(host);
                        self.send_datagram(host, to, Event::LoadNoteReceived { from, note });
                    }
                }
                Action::SendUpstreamNote { note, to } => {
                    for to in to {
                        let note = note.clone();
                        self.send_datagram(host, to, Event::UpstreamNoticesReceived(note));
                    }
                }
                _ => {}
            }
        }
    }

    fn send_datagram(&mut self, from: usize, to: SocketAddr, event: Event) {
        let is_lost = |host: &usize| self.silent.contains(host);
        let to = self.number_of(to);
        if let Some(to) = to.filter(|to| !is_lost(to) && !is_lost(&from)) {
            self.happens(DATAGRAM, to, event);
        }
    }

    fn send(&mut self, host: usize, order: SendOrder, request: RequestId) {
        let (path, tries, span) = self.open(host, &order.paths, &order.upstream);
        self.through += usize::from(matches!(path, Some(Path::Through(_))));
        let upstream = order.upstream.clone();
        let event = Event::PathsTried {
            request: Some(request),
            attempts: tries,
            upstream,
        };
        self.happens(span, host, event);
        let replica = number_of_replica(&order.upstream);
        let visit = ReplicaRequest {
            host,
            order: Box::new(order),
            request,
        };
        match path {
            Some(_) => self.add(span + CONNECT, Due::Reaches { replica, visit }),
            None => self.end(visit, failed(FailureCause::Connect, Verdict::NotRun), span),
        }
    }

    /// Opens the first path that connects; gives what was tried, and how long it took.
    fn open(
        &mut self,
        host: usize,
        paths: &[Path],
        upstream: &UpstreamId,
    ) -> (Option<Path>, Vec<PathAttempt>, Duration) {
        let mut attempts: Vec<(Duration, Path, Duration, PathOutcome)> = Vec::new();
        let mut start = Duration::ZERO;
        for path in paths {
            let connects = |(_, _, end, outcome): &(_, _, Duration, _)| {
                *outcome == PathOutcome::Connected && *end <= start
            };
            if start >= OPEN_LIMIT || attempts.iter().any(connects) {
                break;
            }
            let (takes, outcome) = self.attempt(host, *path, upstream);
            attempts.push((start, *path, start + takes, outcome));
            let ends = attempts.iter().map(|(_, _, end, _)| *end);
            let next = ends.filter(|end| *end > start).min().unwrap_or(OPEN_LIMIT);
            start = next.min(start + HEAD_START);
        }
        let standing = attempts
            .iter()
            .filter(|(.., outcome)| *outcome == PathOutcome::Connected);
        let first = standing.min_by_key(|(_, _, end, _)| *end);
        let opened = first.map(|(_, path, end, _)| (*path, *end));
        let opened = opened.filter(|(_, end)| *end <= OPEN_LIMIT);
        let until = opened.map_or(OPEN_LIMIT, |(_, end)| end);
        let tries = attempts
            .iter()
            .filter_map(|(start, path, end, outcome)| {
                let outcome = if *end <= until {
                    *outcome
                } else {
                    PathOutcome::NoAnswer
                };
                let counts = *end <= until || until >= *start + HEAD_START;
                counts.then_some(PathAttempt {
                    outcome,
                    path: *path,
                })
            })
            .collect();
        let all_failed = attempts.iter().map(|(_, _, end, _)| *end).max();
        let span = opened.map_or_else(
            || all_failed.unwrap_or(OPEN_LIMIT).min(OPEN_LIMIT),
            |(_, end)| end,
        );
        (opened.map(|(path, _)| path), tries, span)
    }

    fn attempt(
        &mut self,
        host: usize,
        path: Path,
        upstream: &UpstreamId,
    ) -> (Duration, PathOutcome) {
        let is_down = self.replicas[number_of_replica(upstream)].is_down(self.now);
        let other = match path {
            Path::Direct => {
                return match self.cut_between(host, upstream) {
                    None if is_down => (CONNECT, PathOutcome::Refused),
                    None => (CONNECT, PathOutcome::Connected),
                    Some(cut) if cut.refuses => (CONNECT, PathOutcome::Refused),
                    Some(_) => (Duration::MAX / 4, PathOutcome::NoAnswer),
                };
            }
            Path::Through(address) => self.number_of(address),
        };
        let Some(other) = other.filter(|other| !self.dead.contains(other)) else {
            return (Duration::MAX / 4, PathOutcome::NoAnswer);
        };
        self.hosts[other].now = self.now;
        let answers = self.hosts[other].handle(Event::TransitRequested {
            call: 0,
            upstream: upstream.clone(),
        });
        self.carry_out(other);
        let connects = answers.iter().any(|action| {
            matches!(
                action,
                Action::AnswerTransit {
                    upstream_address: Some(_),
                    ..
                }
            )
        });
        if !connects {
            return (CONNECT * 2, PathOutcome::Declined);
        }
        match self.cut_between(other, upstream) {
            None if is_down => (CONNECT * 3, PathOutcome::Unreached),
            None => (CONNECT * 3, PathOutcome::Connected),
            Some(cut) if cut.refuses => (CONNECT * 3, PathOutcome::Unreached),
            Some(_) => (TRANSIT_LIMIT, PathOutcome::Unreached),
        }
    }

    fn cut_between(&self, host: usize, upstream: &UpstreamId) -> Option<&Cut> {
        self.cuts.iter().find(|cut| {
            let is_cut = |number: &usize| replica(*number) == *upstream;
            cut.from <= self.now
                && self.now < cut.until
                && cut.hosts.contains(&host)
                && cut.replicas.iter().any(is_cut)
        })
    }

    fn number_of(&self, at: SocketAddr) -> Option<usize> {
        (0..self.hosts.len()).find(|number| address(*number) == at)
    }

    fn happens(&mut self, after: Duration, host: usize, event: Event) {
        let event = Box::new(event);
        self.add(after, Due::Happens { event, host });
    }

    fn add(&mut self, after: Duration, due: Due) {
        self.next += 1;
        self.due.insert((self.now + after, self.next), due);
    }
}

pub fn domain_of(host: usize) -> &'static str {
    DOMAINS[host % DOMAINS.len()]
}

pub fn replica(number: usize) -> UpstreamId {
    format!("shop-{number}").parse().unwrap()
}

fn peer(number: usize) -> PeerHost {
    PeerHost {
        address: address(number),
        failure_domain: domain_of(number).parse().unwrap(),
        host: format!("host-{number}").parse().unwrap(),
        leaving: false,
    }
}

fn number_of_replica(id: &UpstreamId) -> usize {
    let number = id.name().rsplit('-').next();
    number.unwrap().parse().unwrap()
}

fn failed(cause: FailureCause, verdict: Verdict) -> AttemptEnd {
    AttemptEnd::Failed {
        cause,
        delivered: false,
        tokens: Tokens::default(),
        verdict,
    }
}

fn replicas(slots: usize) -> BTreeMap<UpstreamId, Upstream> {
    let replicas = (0..REPLICAS).map(|number| {
        let definition = ServiceReplica {
            address: address(REPLICAS_AT + number),
            failure_domain: domain_of(number).parse().unwrap(),
            health_path: "/health".to_string(),
            service: "shop".parse().unwrap(),
            slots: slots as u32,
        };
        (replica(number), Upstream::Service(definition))
    });
    replicas.collect()
}
