//! Hosts that tell each other their load, before engines that read cold documents, and callers
//! that leave at their limit and come back once after a refusal.

use {
    crate::support::{Ask, Host, TIME_LIMIT, address, engines},
    policy::{Action, AttemptEnd, Event, Refusal, RefusalReason, SendOrder},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::prelude::*,
};

/// Prompts that an engine works on at a time, and that wait there beyond those.
const ENGINE_SLOTS: usize = 8;
const ENGINE_QUEUE_LIMIT: usize = 64;

/// Prompt tokens that an engine reads in a step.
const PREFILL_TOKENS_PER_STEP: u32 = 1_000;

const STEP_MS: u64 = 10;
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// A class: what it is called, which team sends it, its documents and their tokens, the time of
/// an answer once its prompt is read.
pub struct RequestClass {
    pub name: &'static str,
    pub key: &'static str,
    pub documents: u64,
    pub tokens: u32,
    pub answer_ms: u64,
}

/// The most urgent first.
pub const CLASSES: [RequestClass; 3] = [
    RequestClass {
        name: "question",
        key: "first-key",
        documents: 50,
        tokens: 300,
        answer_ms: 300,
    },
    RequestClass {
        name: "draft",
        key: "shop-key",
        documents: 100,
        tokens: 3_000,
        answer_ms: 400,
    },
    RequestClass {
        name: "summary",
        key: "shop-key",
        documents: 400,
        tokens: 12_000,
        answer_ms: 1_500,
    },
];

/// One caller's request.
#[derive(Clone, Debug)]
struct Caller {
    is_retry: bool,
    deadline: Time,
    document: u64,
    class: usize,
    number: u64,
    unique_tokens: u32,
}

#[derive(Clone, Debug)]
struct EngineAttempt {
    attempt: AttemptId,
    /// When its answer ends; `None` before its prompt is read.
    ends_at: Option<Time>,
    host: usize,
    is_running: bool,
    priority: u8,
    request: RequestId,
    remaining_prefill_tokens: u32,
}

#[derive(Default)]
struct Engine {
    cached_documents: BTreeSet<(usize, u64)>,
    placed: Vec<EngineAttempt>,
}

/// What became of the requests of a class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub arrived: usize,
    /// Not answered within the limit, at an engine.
    pub timed_out: usize,
    /// Refused for want of time, the first time.
    pub refused: usize,
    /// Came back after it.
    pub retried: usize,
    /// Served after they came back.
    pub retries_served: usize,
    pub served: usize,
}

pub struct EngineSimulation {
    pub counts: [Counts; CLASSES.len()],
    /// Hosts that receive no notes.
    pub hosts_without_notes: BTreeSet<usize>,
    pub hosts: Vec<Host>,
    pub stopped_engines: usize,
    /// Whether callers wait for half of the time to all of it, instead of all of it.
    pub random_time_limits: bool,
    /// By size of prompt, those of the least urgent class that came and were served: smaller
    /// half, larger half.
    pub least_urgent_by_size: [(usize, usize); 2],
    /// Requests refused as not run though something of them was sent.
    pub false_not_run: usize,
    callers: BTreeMap<(usize, RequestId), Caller>,
    engines: BTreeMap<UpstreamId, Engine>,
    next_number: u64,
    pending_retries: BTreeMap<(Time, u64), Caller>,
    rng: SmallRng,
    sent: BTreeSet<(usize, RequestId)>,
}

impl EngineSimulation {
    pub fn new(hosts: usize, engines_count: usize, seed: u64) -> Self {
        let mut simulation = Self {
            least_urgent_by_size: Default::default(),
            callers: BTreeMap::new(),
            counts: Default::default(),
            hosts_without_notes: BTreeSet::new(),
            engines: engines(engines_count)
                .into_keys()
                .map(|id| (id, Engine::default()))
                .collect(),
            hosts: Vec::new(),
            stopped_engines: 0,
            random_time_limits: false,
            next_number: 0,
            pending_retries: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            sent: BTreeSet::new(),
            false_not_run: 0,
        };
        for number in 0..hosts {
            let host = simulation.start_host(number, hosts);
            simulation.hosts.push(host);
        }
        simulation
    }

    fn start_host(&self, number: usize, hosts: usize) -> Host {
        let mut host = Host::new(number as u64);
        host.list_hosts(hosts);
        let mut engines = engines(self.engines.len());
        for engine in engines.values_mut() {
            if let config::Upstream::Engine(engine) = engine {
                engine.slots = ENGINE_SLOTS as u32;
                engine.queue_bound = ENGINE_QUEUE_LIMIT as u32;
            }
        }
        host.read_directory(engines, &[]);
        host.handle(Event::TimeOfDay {
            unix_ms: START_UNIX_MS,
        });
        host
    }

    pub fn now(&self) -> Time {
        self.hosts[0].now
    }

    /// Starts a host anew; the callers of its requests are gone.
    pub fn restart(&mut self, number: usize) {
        let mut host = self.start_host(number, self.hosts.len());
        host.now = self.now();
        let unix_ms = START_UNIX_MS + host.now.as_us() / 1_000;
        host.handle(Event::TimeOfDay { unix_ms });
        host.skip_requests(1_000_000);
        self.hosts[number] = host;
        self.callers.retain(|(host, _), _| *host != number);
        for engine in self.engines.values_mut() {
            engine.placed.retain(|placed| placed.host != number);
        }
    }

    /// Lets time pass, with so many requests a second of each class over all hosts.
    pub fn advance(&mut self, span: Duration, per_s: [f64; CLASSES.len()]) {
        let steps = span.as_millis() as u64 / STEP_MS;
        for _ in 0..steps {
            for host in 0..self.hosts.len() {
                let now = self.hosts[host].now.plus_ms(STEP_MS);
                self.hosts[host].now = now;
                // Knowledge of the configuration is not what is looked at.
                self.deliver_event(host, Event::ConfigurationConfirmed { as_of: now });
                self.deliver_event(host, Event::Ticked);
            }
            self.generate_arrivals(per_s);
            self.run_engines();
            self.expire_callers();
        }
    }

    fn generate_arrivals(&mut self, per_s: [f64; CLASSES.len()]) {
        let now = self.now();
        for (class, per_s) in per_s.into_iter().enumerate() {
            let mut expected = per_s * STEP_MS as f64 / 1_000.0;
            while self.rng.random::<f64>() < expected {
                expected -= 1.0;
                self.next_number += 1;
                let caller = Caller {
                    is_retry: false,
                    deadline: now + self.time_limit(),
                    document: self.rng.random_range(0..CLASSES[class].documents),
                    class,
                    number: self.next_number,
                    unique_tokens: self.rng.random_range(100..CLASSES[class].tokens / 2),
                };
                self.counts[class].arrived += 1;
                if class + 1 == CLASSES.len() {
                    self.least_urgent_by_size[caller.size_half()].0 += 1;
                }
                self.ask(caller);
            }
        }
        while let Some(entry) = self.pending_retries.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let caller = entry.remove();
            self.counts[caller.class].retried += 1;
            self.ask(caller);
        }
    }

    fn time_limit(&mut self) -> Duration {
        if self.random_time_limits {
            TIME_LIMIT.mul_f64(self.rng.random_range(0.5..1.0))
        } else {
            TIME_LIMIT
        }
    }

    fn ask(&mut self, caller: Caller) {
        let host = self.rng.random_range(0..self.hosts.len());
        let class = &CLASSES[caller.class];
        let document = 1_000 * (1 + caller.class as u64) + caller.document;
        let parts = [
            (document, class.tokens),
            (1_000_000 + caller.number, caller.unique_tokens),
        ];
        let ask = Ask {
            body: Some(caller.number.to_string()),
            time_limit: caller.deadline.since(self.now()),
            ..Ask::prompt(class.name, class.key, &parts)
        };
        let (request, actions) = self.hosts[host].ask(ask);
        self.callers.insert((host, request), caller);
        self.apply_actions(host, actions);
    }

    fn deliver_event(&mut self, host: usize, event: Event) {
        let actions = self.hosts[host].handle(event);
        self.hosts[host].actions.clear();
        self.apply_actions(host, actions);
    }

    fn apply_actions(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { order, request } => self.on_sent(host, request, &order),
                Action::Refuse { refusal, request } => self.on_refused(host, request, refusal),
                Action::SendLoadNotes { notes } => {
                    for (to, note) in notes {
                        let to = (0..self.hosts.len()).find(|number| address(*number) == to);
                        let to = to.filter(|to| {
                            !self.hosts_without_notes.contains(to)
                                && !self.hosts_without_notes.contains(&host)
                        });
                        if let Some(to) = to {
                            let from = address(host);
                            self.hosts[to].handle(Event::LoadNoteReceived { from, note });
                        }
                    }
                }
                Action::Cancel { attempt, .. } => {
                    for engine in self.engines.values_mut() {
                        engine.placed.retain(|placed| placed.attempt != attempt);
                    }
                }
                _ => {}
            }
        }
    }

    fn on_refused(&mut self, host: usize, request: RequestId, refusal: Refusal) {
        let was_sent = self.sent.contains(&(host, request));
        let says_not_run = refusal.verdict == Verdict::NotRun;
        let early = refusal.reason == RefusalReason::NoTimeLeft;
        self.false_not_run += usize::from(was_sent && (says_not_run || early));
        let Some(caller) = self.callers.remove(&(host, request)) else {
            return;
        };
        if caller.is_retry || !early {
            return;
        }
        self.counts[caller.class].refused += 1;
        let left = caller.deadline.since(self.now());
        if let Some(after) = refusal.retry_after.filter(|after| *after <= left / 3) {
            let caller = Caller {
                is_retry: true,
                ..caller
            };
            let key = (self.now() + after, caller.number);
            self.pending_retries.insert(key, caller);
        }
    }

    fn on_sent(&mut self, host: usize, request: RequestId, order: &SendOrder) {
        self.sent.insert((host, request));
        let caller = &self.callers[&(host, request)];
        let is_stopped = self.is_stopped(&order.upstream);
        let engine = self.engines.get_mut(&order.upstream).unwrap();
        if is_stopped || engine.placed.len() >= ENGINE_SLOTS + ENGINE_QUEUE_LIMIT {
            // Its host learns at once that it did not run.
            let (cause, verdict) = (FailureCause::Busy, Verdict::NotRun);
            self.sent.remove(&(host, request));
            let actions = self.hosts[host].fail(order, request, cause, verdict, false);
            self.apply_actions(host, actions);
            return;
        }
        let key = (caller.class, caller.document);
        let document = if engine.cached_documents.insert(key) {
            CLASSES[caller.class].tokens
        } else {
            0
        };
        engine.placed.push(EngineAttempt {
            attempt: order.attempt,
            ends_at: None,
            host,
            is_running: false,
            priority: order.priority,
            request,
            remaining_prefill_tokens: document + caller.unique_tokens,
        });
    }

    fn is_stopped(&self, id: &UpstreamId) -> bool {
        let lost = self.engines.keys().take(self.stopped_engines);
        lost.into_iter().any(|lost| lost == id)
    }

    /// Engines end, begin the most urgent that wait, and read.
    fn run_engines(&mut self) {
        let now = self.now();
        let mut events = Vec::new();
        let lost: BTreeSet<UpstreamId> = self
            .engines
            .keys()
            .take(self.stopped_engines)
            .cloned()
            .collect();
        for (id, engine) in &mut self.engines {
            if lost.contains(id) {
                continue;
            }
            let finished = engine
                .placed
                .extract_if(.., |placed| placed.ends_at.is_some_and(|at| at <= now));
            events.extend(finished.map(|placed| (placed, true)));
            engine
                .placed
                .sort_by_key(|placed| (!placed.is_running, placed.priority));
            for placed in engine.placed.iter_mut().take(ENGINE_SLOTS) {
                placed.is_running = true;
            }
            let mut budget = PREFILL_TOKENS_PER_STEP;
            for placed in engine.placed.iter_mut().take(ENGINE_SLOTS) {
                let read = placed.remaining_prefill_tokens.min(budget);
                budget -= read;
                placed.remaining_prefill_tokens -= read;
                if placed.remaining_prefill_tokens == 0 && placed.ends_at.is_none() {
                    placed.ends_at = Some(now);
                    events.push((placed.clone(), false));
                }
            }
        }
        for (placed, ended) in events {
            let class = self
                .callers
                .get(&(placed.host, placed.request))
                .map(|caller| caller.class);
            let Some(class) = class else { continue };
            if ended {
                self.on_served(&placed);
                continue;
            }
            let answer = now.plus_ms(CLASSES[class].answer_ms);
            for engine in self.engines.values_mut() {
                let own = engine
                    .placed
                    .iter_mut()
                    .find(|own| own.attempt == placed.attempt);
                if let Some(own) = own {
                    own.ends_at = Some(answer);
                }
            }
            self.deliver_event(
                placed.host,
                Event::Progressed {
                    attempt: placed.attempt,
                    longest_pause: Duration::ZERO,
                    request: placed.request,
                    tokens: Tokens::new(5),
                },
            );
        }
    }

    fn on_served(&mut self, placed: &EngineAttempt) {
        let caller = self.callers.remove(&(placed.host, placed.request)).unwrap();
        let counts = &mut self.counts[caller.class];
        counts.served += 1;
        counts.retries_served += usize::from(caller.is_retry);
        if caller.class + 1 == CLASSES.len() {
            self.least_urgent_by_size[caller.size_half()].1 += 1;
        }
        self.deliver_event(
            placed.host,
            Event::AttemptEnded {
                attempt: placed.attempt,
                end: AttemptEnd::Completed {
                    response: None,
                    longest_pause: Duration::ZERO,
                    tokens: Tokens::new(5),
                },
                request: placed.request,
            },
        );
    }

    /// Callers leave at their limit.
    fn expire_callers(&mut self) {
        let now = self.now();
        let late = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.deadline <= now);
        let late: Vec<(usize, RequestId)> = late.map(|(key, _)| *key).collect();
        for (host, request) in late {
            let caller = self.callers.remove(&(host, request)).unwrap();
            self.counts[caller.class].timed_out += 1;
            self.deliver_event(host, Event::CallerGone { request });
        }
    }
}

impl Caller {
    /// Whether it is in the smaller or the larger half of its class.
    fn size_half(&self) -> usize {
        usize::from(self.unique_tokens >= CLASSES[self.class].tokens / 4)
    }
}
