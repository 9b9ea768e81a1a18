//! Simulates hosts that exchange load notes and send prompts to engines. Callers cancel at their
//! time limit, and retry once after an early refusal.

use {
    crate::support::{Host, TIME_LIMIT, TestRequest, address, engines},
    policy::{Action, AttemptEnd, Event, Refusal, RefusalReason, SendOrder},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    types::prelude::*,
};

/// Prompts that an engine processes concurrently.
const ENGINE_SLOTS: usize = 8;
/// Prompts that can wait at an engine beyond its slots.
const ENGINE_QUEUE_LIMIT: usize = 64;

/// Prompt tokens that an engine prefills per simulation step.
const PREFILL_TOKENS_PER_STEP: u32 = 1_000;

const STEP_MS: u64 = 10;
const START_UNIX_MS: u64 = 1_700_000_000_000;

/// A request class and the load that its callers generate.
pub struct RequestClass {
    pub name: &'static str,
    /// API key of the team that sends the requests.
    pub key: &'static str,
    /// Number of different documents that prompts of the class start with.
    pub documents: u64,
    /// Tokens of a document.
    pub tokens: u32,
    /// Time from the end of the prefill to the end of the response.
    pub answer_ms: u64,
}

/// The classes, the most urgent first.
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

/// A caller with one request.
#[derive(Clone, Debug)]
struct Caller {
    is_retry: bool,
    deadline: Time,
    document: u64,
    /// Index in [`CLASSES`].
    class: usize,
    number: u64,
    unique_tokens: u32,
}

/// An attempt of a request that waits or runs at an engine.
#[derive(Clone, Debug)]
struct EngineAttempt {
    attempt: AttemptId,
    /// When the response ends; `None` until the prefill is complete.
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

/// Outcomes of the requests of a class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub arrived: usize,
    /// Requests sent or queued whose caller reached its time limit before the response ended.
    pub timed_out: usize,
    /// First attempts of callers that were refused because too little time was left.
    pub refused: usize,
    /// Retries that callers sent after such a refusal.
    pub retried: usize,
    /// Served retries.
    pub retries_served: usize,
    pub served: usize,
}

pub struct EngineSimulation {
    pub counts: [Counts; CLASSES.len()],
    /// Hosts that neither send nor receive load notes.
    pub hosts_without_notes: BTreeSet<usize>,
    pub hosts: Vec<Host>,
    /// Host that receives more requests than the others, and the share that it receives.
    pub preferred_host: Option<(usize, f64)>,
    /// Number of engines that process nothing and refuse new requests.
    pub stopped_engines: usize,
    /// Whether each caller waits for a random part of the time limit, from half to all of it.
    pub random_time_limits: bool,
    /// Arrived and served requests of the least urgent class: those with the smaller prompts, then
    /// those with the larger ones.
    pub least_urgent_by_size: [(usize, usize); 2],
    /// Requests that were refused as not run although an engine had accepted them.
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
            preferred_host: None,
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

    /// Restarts a host. The callers of its requests are gone.
    pub fn restart(&mut self, number: usize) {
        let mut host = self.start_host(number, self.hosts.len());
        host.now = self.now();
        let unix_ms = START_UNIX_MS + host.now.as_us() / 1_000;
        host.handle(Event::TimeOfDay { unix_ms });
        host.set_next_request_id(1_000_000);
        self.hosts[number] = host;
        self.callers.retain(|(host, _), _| *host != number);
        for engine in self.engines.values_mut() {
            engine.placed.retain(|placed| placed.host != number);
        }
    }

    /// Runs the simulation for a while, with `per_s` requests per second of each class over all
    /// hosts.
    pub fn advance(&mut self, span: Duration, per_s: [f64; CLASSES.len()]) {
        let steps = span.as_millis() as u64 / STEP_MS;
        for _ in 0..steps {
            for host in 0..self.hosts.len() {
                let now = self.hosts[host].now.plus_ms(STEP_MS);
                self.hosts[host].now = now;
                // Keeps the configuration current, so that no request is refused for a stale one.
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
        let preferred = self.preferred_host;
        let preferred = preferred.filter(|(_, share)| self.rng.random_bool(*share));
        let host = match preferred {
            Some((host, _)) => host,
            None => self.rng.random_range(0..self.hosts.len()),
        };
        let class = &CLASSES[caller.class];
        let document = 1_000 * (1 + caller.class as u64) + caller.document;
        let parts = [
            (document, class.tokens),
            (1_000_000 + caller.number, caller.unique_tokens),
        ];
        let ask = TestRequest {
            body: Some(caller.number.to_string()),
            time_limit: caller.deadline.since(self.now()),
            ..TestRequest::prompt(class.name, class.key, &parts)
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
            // The engine refuses the request at once, and the host learns that it did not run.
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

    /// Completes finished responses, starts the most urgent waiting prompts and prefills prompts.
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

    /// Cancels the requests of callers whose time limit has passed.
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
    /// Returns 0 for a caller with a smaller prompt of its class and 1 for one with a larger
    /// prompt.
    fn size_half(&self) -> usize {
        usize::from(self.unique_tokens >= CLASSES[self.class].tokens / 4)
    }
}
