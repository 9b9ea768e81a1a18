//! Simulates many hosts and the replicas of a service in virtual time. Datagrams between hosts are
//! delayed and may be lost, replicas respond as configured, and the requests that reach them are
//! recorded.

use {
    crate::support::{Host, TestRequest, address},
    config::{ServiceReplica, Upstream},
    policy::{Action, AttemptEnd, Event, Refusal, SendOrder},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{AdvertisedBackoff, AdvertisedLimit, prelude::*},
};

/// Delay of a datagram between two hosts.
const DATAGRAM_DELAY: Duration = Duration::from_millis(2);

/// IP and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// Time between two ticks of a host.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two confirmations of the configuration.
const CONFIRMATION_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a disturbance during which the requests of a host are not counted against a limit,
/// because the host may be out of touch with the others.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Time in which a replica responds.
const RESPONSE_TIME: Duration = Duration::from_millis(30);

/// Number of the first host address. The addresses of replicas start far above, so that the two
/// never overlap.
pub const HOST_ADDRESS_OFFSET: usize = 0;

/// An event that is scheduled for a point in virtual time.
enum ScheduledEvent {
    Response {
        host: usize,
        order: Box<SendOrder>,
        request: RequestId,
    },
    Receive {
        event: Box<Event>,
        host: usize,
    },
}

/// A request that a replica received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub at: Time,
    pub host: usize,
    /// When the host first received a response of this replica that named a limit.
    pub limit_known_since: Option<Time>,
    pub upstream: UpstreamId,
}

/// Outcomes of the requests of a class.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub refused: usize,
    pub sent: usize,
    pub served: usize,
    /// Times from the arrival of a request to its refusal.
    pub refusal_delays: Vec<Duration>,
    /// Times from the arrival of a request to the end of its response.
    pub response_times: Vec<Duration>,
}

pub struct Fleet {
    /// Hosts that were restarted, frozen, thawed, isolated or reconnected, and when.
    pub disturbed: Vec<(usize, Time)>,
    /// Hosts that exchange datagrams only with each other.
    pub cut_off_hosts: BTreeSet<usize>,
    /// Hosts that currently process nothing.
    pub frozen: BTreeSet<usize>,
    pub counts: BTreeMap<&'static str, Counts>,
    pub datagrams: usize,
    pub hosts: Vec<Host>,
    /// Replicas whose responses say that they are leaving.
    pub leaving: BTreeSet<UpstreamId>,
    /// Limit in requests per second that each replica currently names.
    pub limits: BTreeMap<UpstreamId, f64>,
    /// Replicas that refuse requests, and the backoff that they ask for.
    pub refusing: BTreeMap<UpstreamId, Duration>,
    /// Backoffs that replicas asked hosts for: host, replica, start and end.
    pub backoffs: Vec<(usize, UpstreamId, Time, Time)>,
    /// Share of the datagrams that is lost.
    pub datagram_loss: f64,
    pub now: Time,
    pub received: Vec<ReceivedRequest>,
    /// Bytes of token requests and of their answers.
    pub token_bytes: usize,
    arrivals: BTreeMap<(usize, RequestId), (Time, &'static str)>,
    scheduled: BTreeMap<(Time, u64), ScheduledEvent>,
    /// When a host first received a response that said that the replica is leaving.
    leave_known_since: BTreeMap<(usize, UpstreamId), Time>,
    next_number: u64,
    replicas: usize,
    rng: SmallRng,
    limit_known_since: BTreeMap<(usize, UpstreamId), Time>,
}

pub fn replica(number: usize) -> UpstreamId {
    format!("shop-{number}").parse().unwrap()
}

fn replicas(count: usize) -> BTreeMap<UpstreamId, Upstream> {
    let replicas = (0..count).map(|number| {
        let replica = ServiceReplica {
            address: address(2_000 + number),
            failure_domain: "north-a".parse().unwrap(),
            health_path: "/health".to_string(),
            service: "shop".parse().unwrap(),
            slots: 64,
            software_version: None,
        };
        (self::replica(number), Upstream::Service(replica))
    });
    replicas.collect()
}

impl Fleet {
    pub fn new(hosts: usize, replicas: usize, seed: u64) -> Self {
        let mut fleet = Self {
            arrivals: BTreeMap::new(),
            backoffs: Vec::new(),
            counts: BTreeMap::new(),
            cut_off_hosts: BTreeSet::new(),
            datagrams: 0,
            disturbed: Vec::new(),
            scheduled: BTreeMap::new(),
            frozen: BTreeSet::new(),
            hosts: Vec::new(),
            leaving: BTreeSet::new(),
            leave_known_since: BTreeMap::new(),
            limits: BTreeMap::new(),
            datagram_loss: 0.0,
            next_number: 0,
            now: Time::from_ms(1_000),
            received: Vec::new(),
            refusing: BTreeMap::new(),
            replicas,
            rng: SmallRng::seed_from_u64(seed),
            limit_known_since: BTreeMap::new(),
            token_bytes: 0,
        };
        fleet.hosts = (0..hosts)
            .map(|number| fleet.start(number, hosts))
            .collect();
        fleet
    }

    fn start(&self, number: usize, hosts: usize) -> Host {
        let mut host = Host::new(number as u64);
        host.list_hosts(hosts);
        host.read_directory(replicas(self.replicas), &[]);
        host.actions.clear();
        host
    }

    /// Restarts a host, which loses all its state.
    pub fn restart(&mut self, number: usize) {
        self.note_disturbance(number);
        let mut host = self.start(number, self.hosts.len());
        host.now = self.now;
        let as_of = self.now;
        host.handle(Event::ConfigurationConfirmed { as_of });
        host.set_next_request_id(1_000_000 + self.next_number);
        host.actions.clear();
        self.hosts[number] = host;
        self.limit_known_since
            .retain(|(host, _), _| *host != number);
        self.leave_known_since
            .retain(|(host, _), _| *host != number);
        self.backoffs.retain(|(host, ..)| *host != number);
        self.scheduled.retain(|_, scheduled| {
            !matches!(scheduled, ScheduledEvent::Response { host, .. } if *host == number)
        });
    }

    /// Freezes a host: it processes no event until it is thawed.
    pub fn freeze(&mut self, number: usize) {
        self.note_disturbance(number);
        self.frozen.insert(number);
    }

    pub fn thaw(&mut self, number: usize) {
        self.note_disturbance(number);
        self.frozen.remove(&number);
    }

    pub fn thaw_if_frozen(&mut self, number: usize) {
        if self.frozen.contains(&number) {
            self.thaw(number);
        }
    }

    /// Cuts hosts off from the others. The isolated hosts still reach each other.
    pub fn isolate(&mut self, hosts: &[usize]) {
        for host in hosts {
            self.note_disturbance(*host);
        }
        self.cut_off_hosts.extend(hosts);
    }

    pub fn reconnect(&mut self) {
        for host in std::mem::take(&mut self.cut_off_hosts) {
            self.note_disturbance(host);
        }
    }

    fn note_disturbance(&mut self, host: usize) {
        self.disturbed.push((host, self.now));
    }

    /// Whether a host was disturbed shortly before `at`.
    fn is_recovering(&self, host: usize, at: Time) -> bool {
        let mut own = self.disturbed.iter().filter(|(other, _)| *other == host);
        own.any(|(_, from)| at >= *from && at.since(*from) < RECOVERY_TIME)
    }

    /// Runs the simulation for a while, with so many requests per second of each class over all
    /// hosts.
    pub fn advance(&mut self, span: Duration, per_s: &[(&'static str, f64)]) {
        let end = self.now + span;
        while self.now < end {
            let next = self.now + TICK_INTERVAL;
            self.generate_arrivals(per_s);
            self.run_scheduled(next);
            self.now = next;
            for host in 0..self.hosts.len() {
                let confirm = next
                    .as_us()
                    .is_multiple_of(CONFIRMATION_INTERVAL.as_micros() as u64);
                if confirm {
                    self.deliver_event(host, Event::ConfigurationConfirmed { as_of: next });
                }
                self.deliver_event(host, Event::Ticked);
            }
        }
    }

    fn generate_arrivals(&mut self, per_s: &[(&'static str, f64)]) {
        for (class, per_s) in per_s {
            let mut expected = per_s * TICK_INTERVAL.as_secs_f64();
            while self.rng.random::<f64>() < expected {
                expected -= 1.0;
                let host = self.rng.random_range(0..self.hosts.len());
                self.ask(host, class);
            }
        }
    }

    /// Sends a request to a host.
    pub fn ask(&mut self, host: usize, class: &'static str) {
        if self.frozen.contains(&host) {
            return;
        }
        self.hosts[host].now = self.now;
        let (request, _) = self.hosts[host].ask(TestRequest::call(class));
        self.arrivals.insert((host, request), (self.now, class));
        self.counts.entry(class).or_default().sent += 1;
        self.apply_actions(host);
    }

    /// Runs the events that are scheduled before `until`.
    fn run_scheduled(&mut self, until: Time) {
        while let Some(entry) = self.scheduled.first_entry() {
            let (at, _) = *entry.key();
            if at >= until {
                return;
            }
            let scheduled = entry.remove();
            self.now = self.now.max(at);
            match scheduled {
                ScheduledEvent::Response {
                    host,
                    order,
                    request,
                } => self.respond(host, &order, request),
                ScheduledEvent::Receive { event, host } => self.deliver_event(host, *event),
            }
        }
    }

    fn respond(&mut self, host: usize, order: &SendOrder, request: RequestId) {
        if self.frozen.contains(&host) {
            return;
        }
        let named = self.limits.get(&order.upstream).copied();
        if named.is_some() {
            let key = (host, order.upstream.clone());
            self.limit_known_since.entry(key).or_insert(self.now);
        }
        let leaving = self.leaving.contains(&order.upstream);
        if leaving {
            let key = (host, order.upstream.clone());
            self.leave_known_since.entry(key).or_insert(self.now);
        }
        let limit = named.and_then(Rate::per_second);
        let limit = limit.map_or(AdvertisedLimit::Absent, AdvertisedLimit::Valid);
        let refused = self.refusing.get(&order.upstream).copied();
        if let Some(span) = refused {
            let asked = (host, order.upstream.clone(), self.now, self.now + span);
            self.backoffs.push(asked);
        }
        let notice = UpstreamNotice {
            rejection_limit: AdvertisedLimit::Absent,
            backoff: refused.map_or(AdvertisedBackoff::Absent, AdvertisedBackoff::Valid),
            leaving,
            limit,
        };
        if !notice.is_empty() || order.inputs.rate_limit.is_some() {
            let event = Event::NoticeAnswered {
                notice,
                sent: self.now - RESPONSE_TIME,
                upstream: order.upstream.clone(),
            };
            self.deliver_event(host, event);
        }
        let end = if refused.is_some() {
            AttemptEnd::Failed {
                cause: FailureCause::Busy,
                delivered: false,
                tokens: Tokens::default(),
                verdict: Verdict::NotRun,
            }
        } else {
            AttemptEnd::Completed {
                response: None,
                longest_pause: Duration::ZERO,
                tokens: Tokens::default(),
            }
        };
        let event = Event::AttemptEnded {
            attempt: order.attempt,
            end,
            request,
        };
        self.deliver_event(host, event);
        if refused.is_some() {
            return;
        }
        if let Some((at, class)) = self.arrivals.remove(&(host, request)) {
            let counts = self.counts.entry(class).or_default();
            counts.served += 1;
            counts.response_times.push(self.now.since(at));
        }
    }

    fn deliver_event(&mut self, host: usize, event: Event) {
        if self.frozen.contains(&host) {
            return;
        }
        self.hosts[host].now = self.now;
        self.hosts[host].handle(event);
        self.apply_actions(host);
    }

    fn apply_actions(&mut self, from: usize) {
        for action in std::mem::take(&mut self.hosts[from].actions) {
            match action {
                Action::Send { order, request } => self.on_sent(from, order, request),
                Action::Refuse { refusal, request } => self.on_refused(from, refusal, request),
                Action::SendLoadNotes { notes } => {
                    for (to, note) in notes {
                        let from_address = address(HOST_ADDRESS_OFFSET + from);
                        let event = Event::LoadNoteReceived {
                            from: from_address,
                            note,
                        };
                        self.send_datagram(from, to, event);
                    }
                }
                Action::SendUpstreamNote { note, to } => {
                    for to in to {
                        self.send_datagram(from, to, Event::UpstreamNoticesReceived(note.clone()));
                    }
                }
                Action::RequestTokens { ask, to } => {
                    self.token_bytes += DATAGRAM_HEADER_BYTES + ask.to_datagram("").len();
                    let from_address = address(HOST_ADDRESS_OFFSET + from);
                    let event = Event::TokensRequested {
                        ask,
                        from: from_address,
                    };
                    self.send_datagram(from, to, event);
                }
                Action::GrantTokens { grant, to } => {
                    self.token_bytes += DATAGRAM_HEADER_BYTES + grant.to_datagram("").len();
                    self.send_datagram(from, to, Event::TokensGranted(grant));
                }
                _ => {}
            }
        }
    }

    fn on_sent(&mut self, host: usize, order: SendOrder, request: RequestId) {
        let limit_known_since = self
            .limit_known_since
            .get(&(host, order.upstream.clone()))
            .copied();
        self.received.push(ReceivedRequest {
            at: self.now,
            host,
            limit_known_since,
            upstream: order.upstream.clone(),
        });
        let scheduled = ScheduledEvent::Response {
            host,
            order: Box::new(order),
            request,
        };
        self.schedule(self.now + RESPONSE_TIME, scheduled);
    }

    fn on_refused(&mut self, host: usize, refusal: Refusal, request: RequestId) {
        assert_eq!(refusal.verdict, Verdict::NotRun);
        if let Some((at, class)) = self.arrivals.remove(&(host, request)) {
            let counts = self.counts.entry(class).or_default();
            counts.refused += 1;
            counts.refusal_delays.push(self.now.since(at));
        }
    }

    fn send_datagram(&mut self, from: usize, to: std::net::SocketAddr, event: Event) {
        self.datagrams += 1;
        let to = (0..self.hosts.len()).find(|host| address(HOST_ADDRESS_OFFSET + host) == to);
        let Some(to) = to else {
            return;
        };
        let is_isolated = self.cut_off_hosts.contains(&from) != self.cut_off_hosts.contains(&to);
        if is_isolated || self.rng.random::<f64>() < self.datagram_loss {
            return;
        }
        let event = Box::new(event);
        self.schedule(
            self.now + DATAGRAM_DELAY,
            ScheduledEvent::Receive { event, host: to },
        );
    }

    fn schedule(&mut self, at: Time, scheduled: ScheduledEvent) {
        self.next_number += 1;
        self.scheduled.insert((at, self.next_number), scheduled);
    }

    /// Returns the outcomes of the requests of a class.
    pub fn counts_of(&self, class: &'static str) -> Counts {
        self.counts.get(class).cloned().unwrap_or_default()
    }

    /// Returns when a replica received requests from hosts that had known its limit for at least
    /// half a second. Requests of recovering hosts are left out.
    pub fn request_times_under_limit(&self, upstream: &UpstreamId) -> Vec<Time> {
        let requests = self.received.iter().filter(|request| {
            let effective_from = request
                .limit_known_since
                .map(|since| since + Duration::from_millis(500));
            let is_counted = !self.is_recovering(request.host, request.at);
            is_counted
                && request.upstream == *upstream
                && effective_from.is_some_and(|effective_from| request.at >= effective_from)
        });
        requests.map(|request| request.at).collect()
    }

    /// Counts the requests that a replica received from hosts later than `span` after it told them
    /// that it is leaving.
    pub fn requests_after_leaving_notice(&self, upstream: &UpstreamId, span: Duration) -> usize {
        let requests = self.received.iter().filter(|request| {
            let since = self
                .leave_known_since
                .get(&(request.host, upstream.clone()));
            request.upstream == *upstream && since.is_some_and(|since| request.at > *since + span)
        });
        requests.count()
    }

    /// Returns the maximum number of requests that a replica received during one backoff from the
    /// host that it had asked for the backoff. The first half second of a backoff is left out.
    pub fn max_requests_in_backoff(&self) -> usize {
        let counts = self.backoffs.iter().map(|(host, upstream, from, until)| {
            let from = *from + Duration::from_millis(500);
            let requests = self.received.iter().filter(|request| {
                let there = request.host == *host && request.upstream == *upstream;
                there && request.at >= from && request.at < *until
            });
            requests.count()
        });
        counts.max().unwrap_or_default()
    }

    /// Counts the requests that a replica received from `from` on.
    pub fn requests_since(&self, upstream: &UpstreamId, from: Time) -> usize {
        let requests = self.received.iter();
        let requests = requests.filter(|request| request.upstream == *upstream);
        requests.filter(|request| request.at >= from).count()
    }

    /// Returns the maximum number of requests under a limit that a replica received in any 4
    /// seconds.
    pub fn max_requests_in_4_s(&self, upstream: &UpstreamId) -> usize {
        let times = self.request_times_under_limit(upstream);
        let span = Duration::from_secs(4);
        let within = |first: &Time| {
            let from = times.iter().filter(|at| **at >= *first);
            from.filter(|at| at.since(*first) < span).count()
        };
        times.iter().map(within).max().unwrap_or_default()
    }
}
