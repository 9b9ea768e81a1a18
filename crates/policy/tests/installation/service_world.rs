//! Simulates, in virtual time, hosts in several failure domains that send requests to the replicas
//! of a service. Direct paths between hosts and replicas can be cut, and another host can then
//! connect on behalf of a host. Replicas have a limited number of slots, and can crash when they
//! reject too many requests.

use {
    crate::{
        served_replica::{Admission, ReplicaRequest, ServedReplica},
        support::{Host, TestRequest, address},
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

/// Number of replicas of the service.
pub const REPLICAS: usize = 12;

/// Number of the first replica's address, beyond the addresses of hosts.
const FIRST_REPLICA_ADDRESS: usize = 5_000;

const TICK: Duration = Duration::from_millis(20);

/// Delay of a datagram between two hosts.
const DATAGRAM_DELAY: Duration = Duration::from_millis(1);

/// Default of [`World::mean_response_time`].
const MEAN_RESPONSE_TIME: Duration = Duration::from_millis(30);

/// Delay before the next path is tried while the previous one has not connected.
const HEAD_START: Duration = Duration::from_millis(60);
/// Time limit for all paths of an attempt.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time limit of a host that connects on behalf of another host.
const TRANSIT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time to establish or refuse a direct connection, also used as the delay of responses.
const CONNECT_TIME: Duration = Duration::from_millis(1);

/// Direct paths from hosts to replicas that are cut for a time.
#[derive(Clone, Debug)]
pub struct Cut {
    pub from: Time,
    pub hosts: BTreeSet<usize>,
    /// Whether connections are refused; otherwise they get no response.
    pub refuses: bool,
    pub replicas: BTreeSet<usize>,
    pub until: Time,
}

/// Numbers of requests, not counting retries.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestCounts {
    pub total: usize,
    pub served: usize,
}

/// An event of the simulation that is due at a later time.
enum ScheduledEvent {
    RequestArrives {
        host: usize,
    },
    AttemptEnds {
        end: Box<AttemptEnd>,
        host: usize,
        order: Box<SendOrder>,
        request: RequestId,
    },
    ReplicaFinishes {
        attempt: AttemptId,
        host: usize,
        replica: usize,
    },
    HostEvent {
        event: Box<Event>,
        host: usize,
    },
    RequestReachesReplica {
        replica: usize,
        visit: ReplicaRequest,
    },
}

/// The simulated hosts and replicas.
pub struct World {
    /// Mean time in which a replica processes a request; the times are spread by half of it.
    pub mean_response_time: Duration,
    /// Arrival time of each request, by the number of its host.
    arrival_times: BTreeMap<(usize, RequestId), Time>,
    pub cuts: Vec<Cut>,
    /// Hosts that process no events and respond to no other host.
    pub stopped_hosts: BTreeSet<usize>,
    /// Events by due time; the number keeps the order of events with equal times.
    scheduled: BTreeMap<(Time, u64), ScheduledEvent>,
    pub hosts: Vec<Host>,
    last_event_number: u64,
    pub now: Time,
    pub replicas: Vec<ServedReplica>,
    rng: SmallRng,
    /// Served requests, with their arrival times and the numbers of their hosts.
    served: BTreeSet<(Time, usize, RequestId)>,
    /// Hosts that neither send nor receive any datagrams.
    pub hosts_losing_datagrams: BTreeSet<usize>,
    /// Number of attempts that connected through another host.
    pub indirect_attempts: usize,
    /// All requests, with their arrival times and the numbers of their hosts.
    requests: Vec<(Time, usize, RequestId)>,
}

impl World {
    /// Creates hosts, and replicas with 64 slots each.
    pub fn new(hosts: usize, seed: u64) -> Self {
        Self::with_slots(hosts, 64, seed)
    }

    /// Like [`Self::new`], with the given number of slots for each replica.
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
            mean_response_time: MEAN_RESPONSE_TIME,
            arrival_times: BTreeMap::new(),
            requests: Vec::new(),
            cuts: Vec::new(),
            stopped_hosts: BTreeSet::new(),
            scheduled: BTreeMap::new(),
            hosts: (0..hosts).map(start).collect(),
            last_event_number: 0,
            now: Time::from_ms(1_000),
            replicas: (0..REPLICAS)
                .map(|_| ServedReplica::new(slots, slots))
                .collect(),
            rng: SmallRng::seed_from_u64(seed),
            served: BTreeSet::new(),
            hosts_losing_datagrams: BTreeSet::new(),
            indirect_attempts: 0,
        }
    }

    /// Cuts the direct paths from hosts to replicas, from now on for a time.
    pub fn cut(&mut self, hosts: &[usize], replicas: &[usize], refuses: bool, span: Duration) {
        self.cuts.push(Cut {
            from: self.now,
            hosts: hosts.iter().copied().collect(),
            refuses,
            replicas: replicas.iter().copied().collect(),
            until: self.now + span,
        });
    }

    /// Advances the time, with `per_host_s` requests a second at each host.
    pub fn advance(&mut self, span: Duration, per_host_s: f64) {
        let end = self.now + span;
        while self.now < end {
            let next = self.now + TICK;
            for host in 0..self.hosts.len() {
                let mut expected = per_host_s * TICK.as_secs_f64();
                while self.rng.random::<f64>() < expected {
                    expected -= 1.0;
                    let after = TICK.mul_f64(self.rng.random());
                    self.schedule(after, ScheduledEvent::RequestArrives { host });
                }
            }
            self.process_events(next);
            self.now = next;
            for host in 0..self.hosts.len() {
                if next.as_us().is_multiple_of(1_000_000) {
                    self.handle_event(host, Event::ConfigurationConfirmed { as_of: next });
                }
                if next.as_us().is_multiple_of(500_000) {
                    let unix_ms = next.as_us() / 1_000;
                    self.handle_event(host, Event::TimeOfDay { unix_ms });
                }
                self.handle_event(host, Event::Ticked);
            }
        }
    }

    /// Sets the rate of rejections above which replicas crash, or `None` for replicas that do not
    /// crash. Replicas that can crash reject requests instead of queueing them.
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

    /// Returns the number of crashes of all replicas.
    pub fn crash_count(&self) -> usize {
        self.replicas.iter().map(|replica| replica.crashes).sum()
    }

    /// Counts requests that arrived in a time span at the selected hosts.
    pub fn request_counts(
        &self,
        from: Time,
        until: Time,
        includes_host: impl Fn(usize) -> bool,
    ) -> RequestCounts {
        let requests = self.requests.iter();
        let requests =
            requests.filter(|(at, host, _)| *at >= from && *at < until && includes_host(*host));
        requests.fold(RequestCounts::default(), |counts, request| RequestCounts {
            total: counts.total + 1,
            served: counts.served + usize::from(self.served.contains(request)),
        })
    }

    /// Returns the numbers of all replicas.
    pub fn all_replicas() -> Vec<usize> {
        (0..REPLICAS).collect()
    }

    /// Returns the numbers of the hosts in a failure domain.
    pub fn hosts_in(&self, domain: &str) -> Vec<usize> {
        let hosts = 0..self.hosts.len();
        hosts.filter(|host| domain_of(*host) == domain).collect()
    }

    fn send_request(&mut self, host: usize) {
        if self.stopped_hosts.contains(&host) {
            return;
        }
        self.hosts[host].now = self.now;
        let (request, _) = self.hosts[host].ask(TestRequest::call("lookup"));
        self.arrival_times.insert((host, request), self.now);
        self.requests.push((self.now, host, request));
        self.perform_actions(host);
    }

    /// Processes the events that are due before `until`.
    fn process_events(&mut self, until: Time) {
        while let Some(entry) = self.scheduled.first_entry() {
            let (at, _) = *entry.key();
            if at >= until {
                return;
            }
            let due = entry.remove();
            self.now = self.now.max(at);
            match due {
                ScheduledEvent::RequestArrives { host } => self.send_request(host),
                ScheduledEvent::AttemptEnds {
                    end,
                    host,
                    order,
                    request,
                } => {
                    if matches!(*end, AttemptEnd::Completed { .. }) {
                        let arrived = self.arrival_times[&(host, request)];
                        self.served.insert((arrived, host, request));
                    }
                    let event = Event::AttemptEnded {
                        attempt: order.attempt,
                        end: *end,
                        request,
                    };
                    self.handle_event(host, event);
                }
                ScheduledEvent::ReplicaFinishes {
                    attempt,
                    host,
                    replica,
                } => self.finish(replica, host, attempt),
                ScheduledEvent::HostEvent { event, host } => self.handle_event(host, *event),
                ScheduledEvent::RequestReachesReplica { replica, visit } => {
                    self.deliver_to_replica(replica, visit);
                }
            }
        }
    }

    fn deliver_to_replica(&mut self, replica: usize, visit: ReplicaRequest) {
        let (host, attempt) = (visit.host, visit.order.attempt);
        match self.replicas[replica].arrive(visit, self.now) {
            Admission::Crashed(there) => {
                for visit in there {
                    let failed = failed(FailureCause::Reset, Verdict::MayHaveRun);
                    self.schedule_attempt_end(visit, failed, CONNECT_TIME);
                }
            }
            Admission::Rejected(visit) => {
                self.send_notice(replica, &visit);
                self.schedule_attempt_end(
                    visit,
                    failed(FailureCause::Busy, Verdict::NotRun),
                    CONNECT_TIME,
                );
            }
            Admission::Started => self.schedule_finish(replica, host, attempt),
            Admission::Queued => {}
        }
    }

    fn schedule_finish(&mut self, replica: usize, host: usize, attempt: AttemptId) {
        let duration = self
            .mean_response_time
            .mul_f64(self.rng.random_range(0.5..1.5));
        self.schedule(
            duration,
            ScheduledEvent::ReplicaFinishes {
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
            self.schedule_finish(replica, next.host, next.order.attempt);
        }
        self.send_notice(replica, &ended);
        let end = AttemptEnd::Completed {
            response: None,
            longest_pause: Duration::ZERO,
            tokens: Tokens::default(),
        };
        self.schedule_attempt_end(ended, end, CONNECT_TIME);
    }

    /// Delivers the notice in a replica's response, which contains the replica's rejection limit.
    /// A replica without a limit sends a notice only if the order contains an earlier limit, which
    /// the notice then withdraws.
    fn send_notice(&mut self, replica: usize, visit: &ReplicaRequest) {
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
            sent: self.now - CONNECT_TIME,
            upstream: self::replica(replica),
        };
        self.schedule_host_event(CONNECT_TIME, visit.host, event);
    }

    fn schedule_attempt_end(&mut self, visit: ReplicaRequest, end: AttemptEnd, after: Duration) {
        let ReplicaRequest {
            host,
            order,
            request,
        } = visit;
        let end = Box::new(end);
        self.schedule(
            after,
            ScheduledEvent::AttemptEnds {
                end,
                host,
                order,
                request,
            },
        );
    }

    /// Passes an event to a host and carries out its actions.
    fn handle_event(&mut self, host: usize, event: Event) {
        if self.stopped_hosts.contains(&host) {
            return;
        }
        self.hosts[host].now = self.now;
        self.hosts[host].handle(event);
        self.perform_actions(host);
    }

    fn perform_actions(&mut self, host: usize) {
        for action in std::mem::take(&mut self.hosts[host].actions) {
            match action {
                Action::Send { order, request } => self.send(host, order, request),
                Action::CheckPath {
                    paths, upstream, ..
                } => {
                    let (_, tries, span) = self.open_connection(host, &paths, &upstream);
                    let event = Event::PathsTried {
                        request: None,
                        attempts: tries,
                        upstream,
                    };
                    self.schedule_host_event(span, host, event);
                }
                Action::Probe {
                    paths, upstream, ..
                } => {
                    let (path, _, span) = self.open_connection(host, &paths, &upstream);
                    let healthy = path.is_some();
                    self.schedule_host_event(
                        span,
                        host,
                        Event::ProbeAnswered { healthy, upstream },
                    );
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
        let loses_datagrams = |host: &usize| self.hosts_losing_datagrams.contains(host);
        let to = self.host_at(to);
        if let Some(to) = to.filter(|to| !loses_datagrams(to) && !loses_datagrams(&from)) {
            self.schedule_host_event(DATAGRAM_DELAY, to, event);
        }
    }

    fn send(&mut self, host: usize, order: SendOrder, request: RequestId) {
        let (path, tries, span) = self.open_connection(host, &order.paths, &order.upstream);
        self.indirect_attempts += usize::from(matches!(path, Some(Path::Through(_))));
        let upstream = order.upstream.clone();
        let event = Event::PathsTried {
            request: Some(request),
            attempts: tries,
            upstream,
        };
        self.schedule_host_event(span, host, event);
        let replica = replica_number(&order.upstream);
        let visit = ReplicaRequest {
            host,
            order: Box::new(order),
            request,
        };
        match path {
            Some(_) => self.schedule(
                span + CONNECT_TIME,
                ScheduledEvent::RequestReachesReplica { replica, visit },
            ),
            None => self.schedule_attempt_end(
                visit,
                failed(FailureCause::Connect, Verdict::NotRun),
                span,
            ),
        }
    }

    /// Tries paths in order, each with a head start over the next one. Returns the path that
    /// connects first, the outcomes of the paths tried, and the time taken.
    fn open_connection(
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
            if start >= OPEN_TIMEOUT || attempts.iter().any(connects) {
                break;
            }
            let (duration, outcome) = self.try_path(host, *path, upstream);
            attempts.push((start, *path, start + duration, outcome));
            let ends = attempts.iter().map(|(_, _, end, _)| *end);
            let next = ends
                .filter(|end| *end > start)
                .min()
                .unwrap_or(OPEN_TIMEOUT);
            start = next.min(start + HEAD_START);
        }
        let connected = attempts
            .iter()
            .filter(|(.., outcome)| *outcome == PathOutcome::Connected);
        let first = connected.min_by_key(|(_, _, end, _)| *end);
        let opened = first.map(|(_, path, end, _)| (*path, *end));
        let opened = opened.filter(|(_, end)| *end <= OPEN_TIMEOUT);
        let until = opened.map_or(OPEN_TIMEOUT, |(_, end)| end);
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
            || all_failed.unwrap_or(OPEN_TIMEOUT).min(OPEN_TIMEOUT),
            |(_, end)| end,
        );
        (opened.map(|(path, _)| path), tries, span)
    }

    /// Returns how long a path takes to connect or fail, and with what outcome.
    fn try_path(
        &mut self,
        host: usize,
        path: Path,
        upstream: &UpstreamId,
    ) -> (Duration, PathOutcome) {
        let is_down = self.replicas[replica_number(upstream)].is_down(self.now);
        let other = match path {
            Path::Direct => {
                return match self.cut_between(host, upstream) {
                    None if is_down => (CONNECT_TIME, PathOutcome::Refused),
                    None => (CONNECT_TIME, PathOutcome::Connected),
                    Some(cut) if cut.refuses => (CONNECT_TIME, PathOutcome::Refused),
                    Some(_) => (Duration::MAX / 4, PathOutcome::NoAnswer),
                };
            }
            Path::Through(address) => self.host_at(address),
        };
        let Some(other) = other.filter(|other| !self.stopped_hosts.contains(other)) else {
            return (Duration::MAX / 4, PathOutcome::NoAnswer);
        };
        self.hosts[other].now = self.now;
        let answers = self.hosts[other].handle(Event::TransitRequested {
            call: 0,
            upstream: upstream.clone(),
        });
        self.perform_actions(other);
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
            return (CONNECT_TIME * 2, PathOutcome::Declined);
        }
        match self.cut_between(other, upstream) {
            None if is_down => (CONNECT_TIME * 3, PathOutcome::Unreached),
            None => (CONNECT_TIME * 3, PathOutcome::Connected),
            Some(cut) if cut.refuses => (CONNECT_TIME * 3, PathOutcome::Unreached),
            Some(_) => (TRANSIT_TIMEOUT, PathOutcome::Unreached),
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

    fn host_at(&self, at: SocketAddr) -> Option<usize> {
        (0..self.hosts.len()).find(|number| address(*number) == at)
    }

    fn schedule_host_event(&mut self, after: Duration, host: usize, event: Event) {
        let event = Box::new(event);
        self.schedule(after, ScheduledEvent::HostEvent { event, host });
    }

    fn schedule(&mut self, after: Duration, due: ScheduledEvent) {
        self.last_event_number += 1;
        self.scheduled
            .insert((self.now + after, self.last_event_number), due);
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

fn replica_number(id: &UpstreamId) -> usize {
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
            address: address(FIRST_REPLICA_ADDRESS + number),
            failure_domain: domain_of(number).parse().unwrap(),
            health_path: "/health".to_string(),
            service: "shop".parse().unwrap(),
            slots: slots as u32,
            software_version: None,
        };
        (replica(number), Upstream::Service(definition))
    });
    replicas.collect()
}
