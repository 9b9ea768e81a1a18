//! Simulates hosts whose callers begin streams at one host and take them up at another, while
//! engines of several software versions serve. Messages about streams arrive at once or are lost.

use {
    crate::support::{Host, TestRequest, address, engines, exchange_notes, refused, sent},
    config::Upstream,
    peer::{PeerHost, StreamNote},
    policy::{Action, Event, RefusalReason, SendOrder},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        net::SocketAddr,
    },
    types::prelude::*,
};

/// Time within which a request that takes a stream up is sent or refused.
const DECISION_MS: u64 = 1_000;

/// Number of hosts up to which all hosts list each other. In larger installations each lists those
/// of its own failure domain only.
const MAX_HOSTS_LISTED_BY_ALL: usize = 384;

/// What became of a request that takes a stream up.
#[derive(Clone, Debug, PartialEq)]
pub enum TakeUp {
    Refused(RefusalReason),
    /// Sent to an engine of this version.
    Sent(String),
}

/// A stream, and the version of the engine that began it.
#[derive(Clone, Debug)]
pub struct BegunStream {
    pub host: usize,
    pub order: SendOrder,
    pub request: RequestId,
    pub stream: StreamId,
    pub version: String,
}

pub struct StreamInstallation {
    pub hosts: Vec<Host>,
    /// Hosts that reach neither the store nor other hosts.
    pub cut_off: BTreeSet<usize>,
    /// Hosts that receive nothing.
    pub down: BTreeSet<usize>,
    /// Share of the messages that is lost.
    pub loss: f64,
    pub message_bytes: usize,
    pub messages: usize,
    domains: usize,
    in_transit: VecDeque<(usize, SocketAddr, StreamNote)>,
    listed: BTreeMap<UpstreamId, Upstream>,
    /// Hosts that have missed a change of the list.
    outdated: BTreeSet<usize>,
    next_prompt: u64,
    restarts: u64,
    rng: SmallRng,
    /// Hosts that wait for a confirmation of their list.
    unconfirmed: Vec<usize>,
}

/// Engines of each version, as many as given.
pub fn versioned_engines(versions: &[(&str, usize)]) -> BTreeMap<UpstreamId, Upstream> {
    let names = versions.iter();
    let names = names.flat_map(|(version, count)| std::iter::repeat_n(*version, *count));
    let total = versions.iter().map(|(_, count)| count).sum();
    let mut listed = engines(total);
    for (upstream, version) in listed.values_mut().zip(names) {
        if let Upstream::Engine(engine) = upstream {
            engine.software_version = Some(version.parse().unwrap());
        }
    }
    listed
}

impl StreamInstallation {
    pub fn start(hosts: usize, domains: usize, versions: &[(&str, usize)], seed: u64) -> Self {
        let hosts = (0..hosts).map(|number| {
            let mut host = Host::new_in(&domain(number, domains), number as u64);
            host.read_directory(versioned_engines(versions), &[]);
            host
        });
        let mut installation = Self {
            hosts: hosts.collect(),
            cut_off: BTreeSet::new(),
            down: BTreeSet::new(),
            loss: 0.0,
            message_bytes: 0,
            messages: 0,
            domains,
            in_transit: VecDeque::new(),
            listed: versioned_engines(versions),
            outdated: BTreeSet::new(),
            next_prompt: 0,
            restarts: 0,
            rng: SmallRng::seed_from_u64(seed),
            unconfirmed: Vec::new(),
        };
        for number in 0..installation.hosts.len() {
            installation.list_hosts(number);
        }
        installation
    }

    fn list_hosts(&mut self, host: usize) {
        let own = domain(host, self.domains);
        let listed = (0..self.hosts.len()).filter(|number| {
            self.hosts.len() <= MAX_HOSTS_LISTED_BY_ALL || domain(*number, self.domains) == own
        });
        let peers = listed.map(|number| PeerHost {
            address: address(number),
            failure_domain: domain(number, self.domains).parse().unwrap(),
            host: format!("host-{number}").parse().unwrap(),
            leaving: false,
        });
        let peers: Vec<PeerHost> = peers.collect();
        let total_hosts = Some(self.hosts.len());
        self.hosts[host].handle(Event::PeersListed { peers, total_hosts });
    }

    pub fn host_in_domain(&mut self, domain: usize) -> usize {
        let each = self.hosts.len() / self.domains;
        domain + self.domains * self.rng.random_range(0..each)
    }

    pub fn random_host(&mut self) -> usize {
        self.rng.random_range(0..self.hosts.len())
    }

    pub fn hosts_of_domain(&self, domain: usize) -> impl Iterator<Item = usize> + use<> {
        (domain..self.hosts.len()).step_by(self.domains)
    }

    /// Lists other engines at all hosts that reach the store.
    pub fn list_engines(&mut self, engines: &BTreeMap<UpstreamId, Upstream>) {
        self.listed.clone_from(engines);
        self.outdated.clone_from(&self.cut_off);
        for (number, host) in self.hosts.iter_mut().enumerate() {
            if !self.outdated.contains(&number) {
                host.read_directory(engines.clone(), &[]);
            }
        }
    }

    /// Lets time pass at all hosts.
    pub fn advance(&mut self, ms: u64) {
        for host in &mut self.hosts {
            host.advance(ms);
            let as_of = host.now;
            host.handle(Event::ConfigurationConfirmed { as_of });
        }
        for host in 0..self.hosts.len() {
            self.deliver_from(host);
        }
    }

    /// Like `advance`, with few ticks.
    pub fn advance_coarsely(&mut self, ms: u64) {
        const STEP_MS: u64 = 500;
        for _ in 0..ms / STEP_MS {
            for host in &mut self.hosts {
                host.now = host.now.plus_ms(STEP_MS);
                host.handle(Event::Ticked);
                host.actions.clear();
            }
        }
        self.advance(10);
    }

    /// Lets time pass, and delivers the load notes of the end of this time.
    pub fn advance_with_notes(&mut self, ms: u64) {
        self.advance(ms);
        for host in &mut self.hosts {
            host.advance(1_000);
        }
        exchange_notes(&mut self.hosts);
    }

    /// Lets time pass at all hosts, while one of them is paused. It then reads the configuration
    /// before the list of upstreams.
    pub fn resume_after_pause(&mut self, paused: usize, ms: u64) {
        for (number, host) in self.hosts.iter_mut().enumerate() {
            if number == paused {
                host.now = host.now.plus_ms(ms);
            } else {
                host.advance(ms);
            }
        }
        let as_of = self.hosts[paused].now;
        self.hosts[paused].handle(Event::ConfigurationConfirmed { as_of });
    }

    /// Delivers the load note of one host to another one.
    pub fn deliver_load_note(&mut self, from: usize, to: usize) {
        let notes = self.hosts[from].take_notes();
        let notes = notes.into_iter().filter(|(at, _)| *at == address(to));
        for (_, note) in notes {
            let from = address(from);
            self.hosts[to].handle(Event::LoadNoteReceived { from, note });
        }
    }

    /// Replaces a host by one that has just started.
    pub fn restart(&mut self, host: usize) {
        let now = self.hosts[host].now;
        self.hosts[host] = Host::new_in(&domain(host, self.domains), host as u64);
        self.hosts[host].now = now;
        // Streams of different incarnations have different names.
        self.restarts += 1;
        self.hosts[host].set_next_request_id(1_000_000 * self.restarts);
        let engines = self.listed.clone();
        self.hosts[host].read_directory(engines, &[]);
        let as_of = now;
        self.hosts[host].handle(Event::ConfigurationConfirmed { as_of });
        self.list_hosts(host);
    }

    /// Id of a stream that a host begins and can report to no other host.
    pub fn begin_unreported(&mut self, host: usize) -> StreamId {
        let prompt = self.new_prompt();
        let (request, actions) = self.hosts[host].ask(prompt);
        assert!(sent(&actions).is_some());
        self.deliver_from(host);
        self.hosts[host].stream_of(request)
    }

    /// Begins a stream at a host.
    pub fn begin(&mut self, host: usize) -> BegunStream {
        let prompt = self.new_prompt();
        let (request, actions) = self.hosts[host].ask(prompt);
        let order = sent(&actions).unwrap();
        self.deliver_from(host);
        BegunStream {
            host,
            version: self.version_of(&order),
            order,
            request,
            stream: self.hosts[host].stream_of(request),
        }
    }

    /// Takes a stream up at a host.
    pub fn take_up(&mut self, host: usize, stream: StreamId) -> TakeUp {
        let ask = TestRequest {
            resumed_stream: Some(stream),
            ..self.new_prompt()
        };
        self.hosts[host].actions.clear();
        let (request, mut actions) = self.hosts[host].ask(ask);
        self.deliver_keeping(host, &mut actions);
        for _ in 0..DECISION_MS / 10 {
            if sent(&actions).is_some() || refused(&actions).is_some() {
                break;
            }
            let now = self.hosts[host].now.plus_ms(10);
            self.hosts[host].now = now;
            actions.extend(self.hosts[host].handle(Event::Ticked));
            self.deliver_keeping(host, &mut actions);
        }
        if let Some(refusal) = refused(&actions) {
            return TakeUp::Refused(refusal.reason);
        }
        let order = sent(&actions).expect("the request is neither sent nor refused");
        let version = self.version_of(&order);
        self.hosts[host].finish(&order, request);
        TakeUp::Sent(version)
    }

    pub fn version_of(&self, order: &SendOrder) -> String {
        self.listed[&order.upstream]
            .software_version()
            .unwrap()
            .to_string()
    }

    fn new_prompt(&mut self) -> TestRequest {
        self.next_prompt += 1;
        let parts = [(self.next_prompt, 500), (1_000_000 + self.next_prompt, 100)];
        TestRequest::prompt("draft", "first-key", &parts)
    }

    /// Delivers the messages that a host has sent, and the answers.
    pub fn deliver_from(&mut self, host: usize) {
        self.deliver_keeping(host, &mut Vec::new());
    }

    /// Like `deliver_from`, and appends the actions that the messages cause.
    fn deliver_keeping(&mut self, host: usize, kept: &mut Vec<Action>) {
        self.collect(host);
        kept.extend(self.confirm_lists());
        while let Some((to, from, note)) = self.in_transit.pop_front() {
            self.messages += 1;
            self.message_bytes += note.to_datagram("token").len();
            let is_lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
            let is_cut = self.cut_off.contains(&to) || self.cut_off.contains(&number_of(from));
            if is_lost || is_cut || self.down.contains(&to) {
                continue;
            }
            let event = Event::StreamNoteReceived { from, note };
            kept.extend(self.hosts[to].handle(event));
            self.collect(to);
            kept.extend(self.confirm_lists());
        }
    }

    /// Confirms the list at the hosts that have asked for it, reach the store and have the newest
    /// one.
    fn confirm_lists(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        for host in std::mem::take(&mut self.unconfirmed) {
            let unreachable = [&self.cut_off, &self.down, &self.outdated];
            if !unreachable.iter().any(|hosts| hosts.contains(&host)) {
                let as_of = self.hosts[host].now;
                actions.extend(self.hosts[host].handle(Event::DirectoryConfirmed { as_of }));
            }
        }
        actions
    }

    /// Takes the messages that a host has sent.
    fn collect(&mut self, from: usize) {
        for action in std::mem::take(&mut self.hosts[from].actions) {
            match action {
                Action::SendStreamNote { note, to } => {
                    let messages = to
                        .iter()
                        .map(|to| (number_of(*to), address(from), note.clone()));
                    self.in_transit.extend(messages);
                }
                Action::ConfirmUpstreams => self.unconfirmed.push(from),

                _ => {}
            }
        }
    }
}

fn domain(host: usize, domains: usize) -> String {
    format!("north-{}", host % domains)
}

fn number_of(to: SocketAddr) -> usize {
    (0..2_000).find(|number| address(*number) == to).unwrap()
}
