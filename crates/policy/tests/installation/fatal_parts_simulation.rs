//! Simulates hosts and engines in virtual time while prompts with one part crash the engines that
//! run them. Crashed engines are back after some seconds under a new id.

use {
    crate::support::{Host, TestRequest, engines},
    config::Upstream,
    peer::{Crash, CrashNote},
    policy::{Action, AttemptEnd, Event, SendOrder},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
    types::{Listening, prelude::*},
};

const STEP_MS: u64 = 20;

/// Time from a request's arrival at an engine to its first token, and from there to its end.
const FIRST_TOKEN_MS: u64 = 200;
const RESPONSE_MS: u64 = 800;

/// Time after a crash for which an engine is down, and for which its directory entry is listed.
const DOWNTIME_MS: u64 = 4_000;
const LISTED_AFTER_END_MS: u64 = 3_600;

const DIRECTORY_INTERVAL_MS: u64 = 1_000;

/// Time after which crashes that hosts stored are known to all others.
const STORE_DELAY_MS: u64 = 1_000;

/// Parts of the prompts: one that all have, and documents that some have.
const COMMON_PART: u64 = 1;
const FIRST_DOCUMENT: u64 = 100;
const DOCUMENTS: u64 = 10;

#[derive(Clone, Debug)]
struct SimulatedEngine {
    down_until_ms: Option<u64>,
    ended_ms: u64,
    incarnation: u64,
}

#[derive(Clone, Debug)]
struct Run {
    engine: usize,
    fatal_part: Option<u64>,
    first_token_ms: u64,
    has_begun: bool,
    host: usize,
    order: SendOrder,
    request: RequestId,
}

/// A harmless request.
#[derive(Clone, Debug)]
struct HarmlessRequest {
    arrived_ms: u64,
    sends: u32,
    has_begun: bool,
}

pub struct CrashingInstallation {
    /// Times of all crashes under a fatal part, and the part.
    pub crashes: Vec<(u64, u64)>,
    /// Times at which requests with a fatal part reached an engine, and the part.
    pub fatal_arrivals: Vec<(u64, u64)>,
    /// Parts that crash engines.
    pub fatal_parts: Vec<u64>,
    pub fatal_per_s: f64,
    pub harmless_per_s: f64,
    /// Hosts that receive no harmless requests.
    pub idle_hosts: usize,
    /// Share of the datagrams that is lost.
    pub loss: f64,
    /// Engines that end per second without a fatal request.
    pub random_ends_per_s: f64,
    engines: Vec<SimulatedEngine>,
    events: Vec<(u64, usize, Event)>,
    harmless: BTreeMap<(usize, RequestId), HarmlessRequest>,
    hosts: Vec<Host>,
    last_stored_ms: u64,
    next_part: u64,
    now_ms: u64,
    pending_fatal: BTreeMap<(usize, RequestId), u64>,
    rng: SmallRng,
    runs: Vec<Run>,
    stored: Vec<(u64, Crash)>,
}

impl CrashingInstallation {
    pub fn start(hosts: usize, engine_count: usize, seed: u64) -> Self {
        let start = |number: usize| {
            let mut host = Host::new(number as u64);
            host.list_hosts(hosts);
            host
        };
        let engine = SimulatedEngine {
            down_until_ms: None,
            ended_ms: 0,
            incarnation: 0,
        };
        let mut installation = Self {
            crashes: Vec::new(),
            fatal_arrivals: Vec::new(),
            fatal_parts: Vec::new(),
            fatal_per_s: 0.0,
            harmless_per_s: 0.0,
            idle_hosts: 0,
            loss: 0.0,
            random_ends_per_s: 0.0,
            engines: vec![engine; engine_count],
            events: Vec::new(),
            harmless: BTreeMap::new(),
            hosts: (0..hosts).map(start).collect(),
            last_stored_ms: 0,
            next_part: 1_000_000,
            now_ms: 1_000,
            pending_fatal: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            runs: Vec::new(),
            stored: Vec::new(),
        };
        installation.read_directories();
        installation
    }

    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.step();
        }
    }

    /// Share of the harmless requests that arrived in this time whose first attempt began.
    pub fn begun_share(&self, from_ms: u64, until_ms: u64) -> f64 {
        let requests = self.harmless.values();
        let requests: Vec<&HarmlessRequest> = requests
            .filter(|request| (from_ms..until_ms).contains(&request.arrived_ms))
            .collect();
        let begun = requests.iter().filter(|request| request.has_begun).count();
        begun as f64 / requests.len() as f64
    }

    /// Number of requests with the part that reached engines later than the given time.
    pub fn arrivals_after(&self, part: u64, ms: u64) -> usize {
        let arrivals = self.fatal_arrivals.iter();
        arrivals.filter(|(at, of)| *of == part && *at > ms).count()
    }

    /// Time of the given crash under the part, counted from 1, or of the last one.
    pub fn crash_time(&self, part: u64, number: usize) -> Option<u64> {
        let times = self.crashes.iter().filter(|(_, of)| *of == part);
        let times: Vec<u64> = times.map(|(at, _)| *at).collect();
        times.get(number - 1).or(times.last()).copied()
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        if self.now_ms.is_multiple_of(DIRECTORY_INTERVAL_MS) {
            self.read_directories();
            self.read_store();
        }
        self.restart_engines();
        self.send_requests();
        self.end_random_engines();
        self.progress_runs();
        let due = std::mem::take(&mut self.events);
        let (due, later) = due.into_iter().partition(|(at, ..)| *at <= self.now_ms);
        self.events = later;
        for (_, host, event) in due {
            self.handle(host, event);
        }
        for host in 0..self.hosts.len() {
            self.handle(host, Event::Ticked);
        }
    }

    fn occurs(&mut self, per_s: f64) -> u32 {
        let mean = per_s * STEP_MS as f64 / 1_000.0;
        mean as u32 + u32::from(self.rng.random_bool(mean.fract()))
    }

    fn send_requests(&mut self) {
        for _ in 0..self.occurs(self.harmless_per_s) {
            let host = self.rng.random_range(self.idle_hosts..self.hosts.len());
            let document = FIRST_DOCUMENT + self.rng.random_range(0..DOCUMENTS);
            self.send(host, &[COMMON_PART, document], None);
        }
        for fatal in self.fatal_parts.clone() {
            for _ in 0..self.occurs(self.fatal_per_s) {
                let host = self.rng.random_range(0..self.hosts.len());
                let document = FIRST_DOCUMENT + self.rng.random_range(0..DOCUMENTS);
                self.send(host, &[COMMON_PART, fatal, document], Some(fatal));
            }
        }
    }

    fn send(&mut self, host: usize, shared: &[u64], fatal: Option<u64>) {
        self.next_part += 1;
        let last = [self.next_part];
        let parts = shared.iter().chain(&last).map(|id| (*id, 200));
        let parts: Vec<(u64, u32)> = parts.collect();
        let prompt = TestRequest::prompt("draft", "first-key", &parts);
        self.hosts[host].now = Time::from_ms(self.now_ms);
        let (request, _) = self.hosts[host].ask(prompt);
        if let Some(part) = fatal {
            self.pending_fatal.insert((host, request), part);
        } else {
            let harmless = HarmlessRequest {
                arrived_ms: self.now_ms,
                sends: 0,
                has_begun: false,
            };
            self.harmless.insert((host, request), harmless);
        }
        self.act(host);
    }

    fn handle(&mut self, host: usize, event: Event) {
        self.hosts[host].now = Time::from_ms(self.now_ms);
        self.hosts[host].handle(event);
        self.act(host);
    }

    fn act(&mut self, host: usize) {
        for action in std::mem::take(&mut self.hosts[host].actions) {
            match action {
                Action::Send { order, request } => self.start_run(host, request, order),
                Action::Abandon { attempt, request } => self.abandon(host, request, attempt),
                Action::CheckListening { upstream, .. } => {
                    let listening = match self.running_engine(&upstream) {
                        Some(_) => Listening::Yes,
                        None => Listening::No,
                    };
                    let event = Event::ListeningChecked {
                        listening,
                        upstream,
                    };
                    self.schedule(host, event);
                }
                Action::SendCrashNote { note, to } => self.deliver(&note, &to),
                Action::StoreCrashes(crashes) => {
                    let now_ms = self.now_ms;
                    let crashes = crashes.into_iter();
                    self.stored.extend(crashes.map(|crash| (now_ms, crash)));
                }
                _ => {}
            }
        }
    }

    fn schedule(&mut self, host: usize, event: Event) {
        self.events.push((self.now_ms + 1, host, event));
    }

    fn deliver(&mut self, note: &CrashNote, to: &[SocketAddr]) {
        let bytes = note.to_datagram("token");
        for host in 0..self.hosts.len() {
            let is_lost = self.rng.random_bool(self.loss);
            if to.contains(&crate::support::address(host)) && !is_lost {
                let note = CrashNote::from_datagram(&bytes, "token").unwrap();
                self.schedule(host, Event::CrashesReceived(note));
            }
        }
    }

    fn start_run(&mut self, host: usize, request: RequestId, order: SendOrder) {
        if let Some(harmless) = self.harmless.get_mut(&(host, request)) {
            harmless.sends += 1;
        }
        let fatal_part = self.pending_fatal.get(&(host, request)).copied();
        let Some(engine) = self.running_engine(&order.upstream) else {
            self.fail(host, request, &order, FailureCause::Connect, false);
            return;
        };
        if let Some(part) = fatal_part {
            self.fatal_arrivals.push((self.now_ms, part));
        }
        self.runs.push(Run {
            engine,
            fatal_part,
            first_token_ms: self.now_ms + FIRST_TOKEN_MS,
            has_begun: false,
            host,
            order,
            request,
        });
    }

    fn abandon(&mut self, host: usize, request: RequestId, attempt: AttemptId) {
        let is_it =
            |run: &Run| run.host == host && run.request == request && run.order.attempt == attempt;
        if let Some(position) = self.runs.iter().position(is_it) {
            let run = self.runs.swap_remove(position);
            self.fail(
                host,
                request,
                &run.order,
                FailureCause::Silent,
                run.has_begun,
            );
        }
    }

    fn fail(
        &mut self,
        host: usize,
        request: RequestId,
        order: &SendOrder,
        cause: FailureCause,
        delivered: bool,
    ) {
        let verdict = match cause {
            FailureCause::Connect => Verdict::NotRun,
            _ => Verdict::MayHaveRun,
        };
        let end = AttemptEnd::Failed {
            cause,
            delivered,
            tokens: Tokens::default(),
            verdict,
        };
        let attempt = order.attempt;
        self.schedule(
            host,
            Event::AttemptEnded {
                attempt,
                end,
                request,
            },
        );
    }

    /// Lets runs begin and end, and crashes the engines on which a fatal one begins.
    fn progress_runs(&mut self) {
        let mut ended_engines = Vec::new();
        let mut events = Vec::new();
        let now_ms = self.now_ms;
        for run in &mut self.runs {
            if now_ms < run.first_token_ms {
                continue;
            }
            if let Some(part) = run.fatal_part {
                ended_engines.push((run.engine, Some(part)));
                continue;
            }
            if !run.has_begun {
                run.has_begun = true;
                if let Some(harmless) = self.harmless.get_mut(&(run.host, run.request)) {
                    harmless.has_begun = harmless.sends == 1;
                }
                let event = Event::Progressed {
                    attempt: run.order.attempt,
                    longest_pause: Duration::ZERO,
                    request: run.request,
                    tokens: Tokens::new(5),
                };
                events.push((run.host, event));
            }
        }
        let is_whole =
            |run: &Run| run.fatal_part.is_none() && now_ms >= run.first_token_ms + RESPONSE_MS;
        for run in self.runs.extract_if(.., |run| is_whole(run)) {
            let end = AttemptEnd::Completed {
                longest_pause: Duration::ZERO,
                response: None,
                tokens: Tokens::new(40),
            };
            let event = Event::AttemptEnded {
                attempt: run.order.attempt,
                end,
                request: run.request,
            };
            events.push((run.host, event));
        }
        for (host, event) in events {
            self.schedule(host, event);
        }
        for (engine, part) in ended_engines {
            self.end_engine(engine, part);
        }
    }

    fn end_random_engines(&mut self) {
        for _ in 0..self.occurs(self.random_ends_per_s) {
            let engine = self.rng.random_range(0..self.engines.len());
            self.end_engine(engine, None);
        }
    }

    fn end_engine(&mut self, number: usize, part: Option<u64>) {
        let engine = &mut self.engines[number];
        if engine.down_until_ms.is_some() {
            return;
        }
        engine.down_until_ms = Some(self.now_ms + DOWNTIME_MS);
        engine.ended_ms = self.now_ms;
        if let Some(part) = part {
            self.crashes.push((self.now_ms, part));
        }
        let runs = self.runs.extract_if(.., |run| run.engine == number);
        for run in runs.collect::<Vec<Run>>() {
            let (host, request) = (run.host, run.request);
            self.fail(
                host,
                request,
                &run.order,
                FailureCause::Reset,
                run.has_begun,
            );
        }
    }

    fn restart_engines(&mut self) {
        for engine in &mut self.engines {
            if engine
                .down_until_ms
                .is_some_and(|until| until <= self.now_ms)
            {
                engine.down_until_ms = None;
                engine.incarnation += 1;
            }
        }
    }

    /// The number of the engine that runs under this id.
    fn running_engine(&self, upstream: &UpstreamId) -> Option<usize> {
        let engines = self.engines.iter().enumerate();
        let mut running = engines.filter(|(_, engine)| engine.down_until_ms.is_none());
        running
            .find(|(number, engine)| engine_id(*number, engine.incarnation) == *upstream)
            .map(|(number, _)| number)
    }

    fn read_directories(&mut self) {
        let mut listed = BTreeMap::new();
        let definitions: Vec<Upstream> = engines(self.engines.len()).into_values().collect();
        for (number, engine) in self.engines.iter().enumerate() {
            let has_expired = engine.down_until_ms.is_some()
                && self.now_ms >= engine.ended_ms + LISTED_AFTER_END_MS;
            if !has_expired {
                let id = engine_id(number, engine.incarnation);
                listed.insert(id, definitions[number].clone());
            }
        }
        for number in 0..self.hosts.len() {
            let event = Event::DirectoryRead {
                common: None,
                leaving: std::collections::BTreeSet::new(),
                upstreams: listed.clone(),
            };
            self.handle(number, event);
            let as_of = Time::from_ms(self.now_ms);
            self.handle(number, Event::ConfigurationConfirmed { as_of });
        }
    }

    fn read_store(&mut self) {
        let due = self.now_ms.saturating_sub(STORE_DELAY_MS);
        let is_new = |at: u64| at <= due && at > self.last_stored_ms;
        if !self.stored.iter().any(|(at, _)| is_new(*at)) {
            return;
        }
        self.last_stored_ms = due;
        let listed = self.stored.iter().filter(|(at, _)| *at <= due);
        let listed = listed.map(|(at, crash)| Crash {
            age_ms: crash.age_ms + (self.now_ms - at) as u32,
            ..crash.clone()
        });
        let listed: Vec<Crash> = listed.collect();
        for host in 0..self.hosts.len() {
            self.handle(host, Event::CrashesListed(listed.clone()));
        }
    }
}

fn engine_id(number: usize, incarnation: u64) -> UpstreamId {
    format!("engine-{number}@{incarnation}").parse().unwrap()
}
