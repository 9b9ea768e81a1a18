//! Many hosts before the replicas of a service, in virtual time: datagrams between hosts take
//! a moment and may be lost, replicas answer by a script, and what reaches them is counted.

use {
    crate::support::{Ask, Host, address},
    config::{ServiceReplica, Upstream},
    policy::{Action, AttemptEnd, Event, Refusal, SendOrder},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::{AdvertisedBackoff, AdvertisedLimit, prelude::*},
};

/// Time of a datagram between two hosts.
const DATAGRAM: Duration = Duration::from_millis(2);

/// Bytes of a datagram's headers.
const HEADERS: usize = 28;

/// Time between two ticks of a host.
const TICK: Duration = Duration::from_millis(10);

/// Time between two confirmations of the configuration.
const CONFIRMED: Duration = Duration::from_secs(1);

/// Time after a disturbance for which a host is out of touch.
const STABLE: Duration = Duration::from_secs(4);

/// Time in which a replica answers.
const ANSWER: Duration = Duration::from_millis(30);

/// Port of the hosts, apart from those of upstreams.
pub const HOSTS_AT: usize = 0;

/// Something that is due at a moment.
enum Due {
    Answer {
        host: usize,
        order: Box<SendOrder>,
        request: RequestId,
    },
    Receive {
        event: Box<Event>,
        host: usize,
    },
}

/// A request as it reached a replica.
#[derive(Clone, Debug)]
pub struct Reached {
    pub at: Time,
    pub host: usize,
    /// When this replica had named a limit to that host first.
    pub notified: Option<Time>,
    pub upstream: UpstreamId,
}

/// What callers got.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub refused: usize,
    pub sent: usize,
    pub served: usize,
    /// Times from arrival to the end of refused requests.
    pub held: Vec<Duration>,
    /// Times from arrival to the end of served requests.
    pub lasted: Vec<Duration>,
}

pub struct Fleet {
    /// Hosts that were disturbed, and when.
    pub disturbed: Vec<(usize, Time)>,
    /// Hosts whose datagrams get nowhere.
    pub cut: BTreeSet<usize>,
    /// Hosts that do nothing now.
    pub frozen: BTreeSet<usize>,
    pub counts: BTreeMap<&'static str, Counts>,
    pub datagrams: usize,
    pub hosts: Vec<Host>,
    /// Replicas that say that they leave.
    pub leaving: BTreeSet<UpstreamId>,
    /// What each replica names now.
    pub limits: BTreeMap<UpstreamId, f64>,
    /// Replicas that refuse requests, and for how long they want none then.
    pub refusing: BTreeMap<UpstreamId, Duration>,
    /// Backoffs that hosts were asked for: host, replica, from when, until when.
    pub backoffs: Vec<(usize, UpstreamId, Time, Time)>,
    /// Part of the datagrams that is lost.
    pub lost: f64,
    pub now: Time,
    pub reached: Vec<Reached>,
    /// Bytes of questions for tokens and of answers to them.
    pub token_bytes: usize,
    arrivals: BTreeMap<(usize, RequestId), (Time, &'static str)>,
    due: BTreeMap<(Time, u64), Due>,
    /// When a host got an answer first that said that its replica leaves.
    left: BTreeMap<(usize, UpstreamId), Time>,
    next: u64,
    replicas: usize,
    rng: SmallRng,
    notified: BTreeMap<(usize, UpstreamId), Time>,
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
            cut: BTreeSet::new(),
            datagrams: 0,
            disturbed: Vec::new(),
            due: BTreeMap::new(),
            frozen: BTreeSet::new(),
            hosts: Vec::new(),
            leaving: BTreeSet::new(),
            left: BTreeMap::new(),
            limits: BTreeMap::new(),
            lost: 0.0,
            next: 0,
            now: Time::from_ms(1_000),
            reached: Vec::new(),
            refusing: BTreeMap::new(),
            replicas,
            rng: SmallRng::seed_from_u64(seed),
            notified: BTreeMap::new(),
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

    /// Starts a host anew; it knows nothing of before.
    pub fn restart(&mut self, number: usize) {
        self.disturb(number);
        let mut host = self.start(number, self.hosts.len());
        host.now = self.now;
        let as_of = self.now;
        host.handle(Event::ConfigurationConfirmed { as_of });
        host.skip_requests(1_000_000 + self.next);
        host.actions.clear();
        self.hosts[number] = host;
        self.notified.retain(|(host, _), _| *host != number);
        self.left.retain(|(host, _), _| *host != number);
        self.backoffs.retain(|(host, ..)| *host != number);
        self.due
            .retain(|_, due| !matches!(due, Due::Answer { host, .. } if *host == number));
    }

    /// Stops a host, as if its processor stood still.
    pub fn freeze(&mut self, number: usize) {
        self.disturb(number);
        self.frozen.insert(number);
    }

    pub fn thaw(&mut self, number: usize) {
        self.disturb(number);
        self.frozen.remove(&number);
    }

    pub fn thaw_if_frozen(&mut self, number: usize) {
        if self.frozen.contains(&number) {
            self.thaw(number);
        }
    }

    /// Cuts some hosts off from the others.
    pub fn cut_off(&mut self, hosts: &[usize]) {
        for host in hosts {
            self.disturb(*host);
        }
        self.cut.extend(hosts);
    }

    pub fn heal(&mut self) {
        for host in std::mem::take(&mut self.cut) {
            self.disturb(host);
        }
    }

    fn disturb(&mut self, host: usize) {
        self.disturbed.push((host, self.now));
    }

    /// Whether a host is out of touch at a moment.
    fn is_excused(&self, host: usize, at: Time) -> bool {
        let mut own = self.disturbed.iter().filter(|(other, _)| *other == host);
        own.any(|(_, from)| at >= *from && at.since(*from) < STABLE)
    }

    /// Lets time pass, with so many requests a second of each class over all hosts.
    pub fn pass(&mut self, span: Duration, per_s: &[(&'static str, f64)]) {
        let end = self.now + span;
        while self.now < end {
            let next = self.now + TICK;
            self.arrive(per_s);
            self.settle(next);
            self.now = next;
            for host in 0..self.hosts.len() {
                let confirm = next.as_us().is_multiple_of(CONFIRMED.as_micros() as u64);
                if confirm {
                    self.tell(host, Event::ConfigurationConfirmed { as_of: next });
                }
                self.tell(host, Event::Ticked);
            }
        }
    }

    fn arrive(&mut self, per_s: &[(&'static str, f64)]) {
        for (class, per_s) in per_s {
            let mut expected = per_s * TICK.as_secs_f64();
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
        let (request, _) = self.hosts[host].ask(Ask::call(class));
        self.arrivals.insert((host, request), (self.now, class));
        self.counts.entry(class).or_default().sent += 1;
        self.carry_out(host);
    }

    /// Does what is due before a moment.
    fn settle(&mut self, until: Time) {
        while let Some(entry) = self.due.first_entry() {
            let (at, _) = *entry.key();
            if at >= until {
                return;
            }
            let due = entry.remove();
            self.now = self.now.max(at);
            match due {
                Due::Answer {
                    host,
                    order,
                    request,
                } => self.answer(host, &order, request),
                Due::Receive { event, host } => self.tell(host, *event),
            }
        }
    }

    fn answer(&mut self, host: usize, order: &SendOrder, request: RequestId) {
        if self.frozen.contains(&host) {
            return;
        }
        let named = self.limits.get(&order.upstream).copied();
        if named.is_some() {
            let key = (host, order.upstream.clone());
            self.notified.entry(key).or_insert(self.now);
        }
        let leaving = self.leaving.contains(&order.upstream);
        if leaving {
            let key = (host, order.upstream.clone());
            self.left.entry(key).or_insert(self.now);
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
                sent: self.now - ANSWER,
                upstream: order.upstream.clone(),
            };
            self.tell(host, event);
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
        self.tell(host, event);
        if refused.is_some() {
            return;
        }
        if let Some((at, class)) = self.arrivals.remove(&(host, request)) {
            let counts = self.counts.entry(class).or_default();
            counts.served += 1;
            counts.lasted.push(self.now.since(at));
        }
    }

    fn tell(&mut self, host: usize, event: Event) {
        if self.frozen.contains(&host) {
            return;
        }
        self.hosts[host].now = self.now;
        self.hosts[host].handle(event);
        self.carry_out(host);
    }

    fn carry_out(&mut self, from: usize) {
        for action in std::mem::take(&mut self.hosts[from].actions) {
            match action {
                Action::Send { order, request } => self.send(from, order, request),
                Action::Refuse { refusal, request } => self.refuse(from, refusal, request),
                Action::SendLoadNotes { notes } => {
                    for (to, note) in notes {
                        let from_address = address(HOSTS_AT + from);
                        let event = Event::LoadNoteReceived {
                            from: from_address,
                            note,
                        };
                        self.datagram(from, to, event);
                    }
                }
                Action::SendUpstreamNote { note, to } => {
                    for to in to {
                        self.datagram(from, to, Event::UpstreamNoticesReceived(note.clone()));
                    }
                }
                Action::RequestTokens { ask, to } => {
                    self.token_bytes += HEADERS + ask.to_datagram("").len();
                    let from_address = address(HOSTS_AT + from);
                    let event = Event::TokensRequested {
                        ask,
                        from: from_address,
                    };
                    self.datagram(from, to, event);
                }
                Action::GrantTokens { grant, to } => {
                    self.token_bytes += HEADERS + grant.to_datagram("").len();
                    self.datagram(from, to, Event::TokensGranted(grant));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, host: usize, order: SendOrder, request: RequestId) {
        let notified = self.notified.get(&(host, order.upstream.clone())).copied();
        self.reached.push(Reached {
            at: self.now,
            host,
            notified,
            upstream: order.upstream.clone(),
        });
        let due = Due::Answer {
            host,
            order: Box::new(order),
            request,
        };
        self.at(self.now + ANSWER, due);
    }

    fn refuse(&mut self, host: usize, refusal: Refusal, request: RequestId) {
        assert_eq!(refusal.verdict, Verdict::NotRun);
        if let Some((at, class)) = self.arrivals.remove(&(host, request)) {
            let counts = self.counts.entry(class).or_default();
            counts.refused += 1;
            counts.held.push(self.now.since(at));
        }
    }

    fn datagram(&mut self, from: usize, to: std::net::SocketAddr, event: Event) {
        self.datagrams += 1;
        let to = (0..self.hosts.len()).find(|host| address(HOSTS_AT + host) == to);
        let Some(to) = to else {
            return;
        };
        let is_cut = self.cut.contains(&from) != self.cut.contains(&to);
        if is_cut || self.rng.random::<f64>() < self.lost {
            return;
        }
        let event = Box::new(event);
        self.at(self.now + DATAGRAM, Due::Receive { event, host: to });
    }

    fn at(&mut self, at: Time, due: Due) {
        self.next += 1;
        self.due.insert((at, self.next), due);
    }

    /// Requests of one class.
    pub fn of(&self, class: &'static str) -> Counts {
        self.counts.get(class).cloned().unwrap_or_default()
    }

    /// Requests that reached a replica from hosts that it had notified half a second before or
    /// earlier.
    pub fn after_notice(&self, upstream: &UpstreamId) -> Vec<Time> {
        let notified = self.reached.iter().filter(|reached| {
            let known = reached
                .notified
                .map(|notified| notified + Duration::from_millis(500));
            let counts = !self.is_excused(reached.host, reached.at);
            counts
                && reached.upstream == *upstream
                && known.is_some_and(|known| reached.at >= known)
        });
        notified.map(|reached| reached.at).collect()
    }

    /// Requests that reached a replica from hosts that it had notified so long before that it
    /// leaves.
    pub fn after_left(&self, upstream: &UpstreamId, span: Duration) -> usize {
        let reached = self.reached.iter().filter(|reached| {
            let left = self.left.get(&(reached.host, upstream.clone()));
            reached.upstream == *upstream && left.is_some_and(|left| reached.at > *left + span)
        });
        reached.count()
    }

    /// The most requests that reached a replica from a host that it had asked for a backoff,
    /// between half a second after that and its end.
    pub fn most_in_backoff(&self) -> usize {
        let counts = self.backoffs.iter().map(|(host, upstream, from, until)| {
            let from = *from + Duration::from_millis(500);
            let reached = self.reached.iter().filter(|reached| {
                let there = reached.host == *host && reached.upstream == *upstream;
                there && reached.at >= from && reached.at < *until
            });
            reached.count()
        });
        counts.max().unwrap_or_default()
    }

    /// Requests that reached a replica from a moment on.
    pub fn reached_from(&self, upstream: &UpstreamId, from: Time) -> usize {
        let reached = self.reached.iter();
        let reached = reached.filter(|reached| reached.upstream == *upstream);
        reached.filter(|reached| reached.at >= from).count()
    }

    /// The most of them in some four seconds.
    pub fn most_in_4_s(&self, upstream: &UpstreamId) -> usize {
        let times = self.after_notice(upstream);
        let span = Duration::from_secs(4);
        let within = |first: &Time| {
            let from = times.iter().filter(|at| **at >= *first);
            from.filter(|at| at.since(*first) < span).count()
        };
        times.iter().map(within).max().unwrap_or_default()
    }
}
