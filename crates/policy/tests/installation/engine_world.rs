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
const SLOTS: usize = 8;
const WAITING: usize = 64;

/// Prompt tokens that an engine reads in a step.
const READ_IN_STEP: u32 = 1_000;

const STEP_MS: u64 = 10;
const UNIX_MS: u64 = 1_700_000_000_000;

/// A class: what it is called, which team sends it, its documents and their tokens, the time of
/// an answer once its prompt is read.
pub struct Kind {
    pub name: &'static str,
    pub key: &'static str,
    pub documents: u64,
    pub tokens: u32,
    pub answer_ms: u64,
}

/// The most urgent first.
pub const KINDS: [Kind; 3] = [
    Kind {
        name: "question",
        key: "first-key",
        documents: 50,
        tokens: 300,
        answer_ms: 300,
    },
    Kind {
        name: "draft",
        key: "shop-key",
        documents: 100,
        tokens: 3_000,
        answer_ms: 400,
    },
    Kind {
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
    came_back: bool,
    deadline: Time,
    document: u64,
    kind: usize,
    number: u64,
    own_tokens: u32,
}

#[derive(Clone, Debug)]
struct Placed {
    attempt: AttemptId,
    /// When its answer ends; `None` before its prompt is read.
    ends: Option<Time>,
    host: usize,
    is_begun: bool,
    priority: u8,
    request: RequestId,
    unread: u32,
}

#[derive(Default)]
struct Engine {
    kept: BTreeSet<(usize, u64)>,
    placed: Vec<Placed>,
}

/// What became of the requests of a class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub came: usize,
    /// Not answered within the limit, at an engine.
    pub lost: usize,
    /// Refused for want of time, the first time.
    pub refused: usize,
    /// Came back after it.
    pub returned: usize,
    /// Served after they came back.
    pub returned_served: usize,
    pub served: usize,
}

pub struct World {
    pub counts: [Counts; KINDS.len()],
    /// Hosts that receive no notes.
    pub cut: BTreeSet<usize>,
    pub hosts: Vec<Host>,
    pub lost_engines: usize,
    /// Whether callers wait for half of the time to all of it, instead of all of it.
    pub limits_differ: bool,
    /// By size of prompt, those of the least urgent class that came and were served: smaller
    /// half, larger half.
    pub by_size: [(usize, usize); 2],
    /// Requests refused as not run though something of them was sent.
    pub untrue: usize,
    callers: BTreeMap<(usize, RequestId), Caller>,
    engines: BTreeMap<UpstreamId, Engine>,
    next: u64,
    returning: BTreeMap<(Time, u64), Caller>,
    rng: SmallRng,
    sent: BTreeSet<(usize, RequestId)>,
}

impl World {
    pub fn new(hosts: usize, engines_count: usize, seed: u64) -> Self {
        let mut world = Self {
            by_size: Default::default(),
            callers: BTreeMap::new(),
            counts: Default::default(),
            cut: BTreeSet::new(),
            engines: engines(engines_count)
                .into_keys()
                .map(|id| (id, Engine::default()))
                .collect(),
            hosts: Vec::new(),
            lost_engines: 0,
            limits_differ: false,
            next: 0,
            returning: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            sent: BTreeSet::new(),
            untrue: 0,
        };
        for number in 0..hosts {
            let host = world.started(number, hosts);
            world.hosts.push(host);
        }
        world
    }

    fn started(&self, number: usize, hosts: usize) -> Host {
        let mut host = Host::new(number as u64);
        host.list_hosts(hosts);
        let mut engines = engines(self.engines.len());
        for engine in engines.values_mut() {
            if let config::Upstream::Engine(engine) = engine {
                engine.slots = SLOTS as u32;
                engine.queue_bound = WAITING as u32;
            }
        }
        host.read_directory(engines, &[]);
        host.handle(Event::TimeOfDay { unix_ms: UNIX_MS });
        host
    }

    pub fn now(&self) -> Time {
        self.hosts[0].now
    }

    /// Starts a host anew; the callers of its requests are gone.
    pub fn restart(&mut self, number: usize) {
        let mut host = self.started(number, self.hosts.len());
        host.now = self.now();
        let unix_ms = UNIX_MS + host.now.as_us() / 1_000;
        host.handle(Event::TimeOfDay { unix_ms });
        host.skip_requests(1_000_000);
        self.hosts[number] = host;
        self.callers.retain(|(host, _), _| *host != number);
        for engine in self.engines.values_mut() {
            engine.placed.retain(|placed| placed.host != number);
        }
    }

    /// Lets time pass, with so many requests a second of each class over all hosts.
    pub fn pass(&mut self, span: Duration, per_s: [f64; KINDS.len()]) {
        let steps = span.as_millis() as u64 / STEP_MS;
        for _ in 0..steps {
            for host in 0..self.hosts.len() {
                let now = self.hosts[host].now.plus_ms(STEP_MS);
                self.hosts[host].now = now;
                // Knowledge of the configuration is not what is looked at.
                self.tell(host, Event::ConfigurationConfirmed { as_of: now });
                self.tell(host, Event::Ticked);
            }
            self.arrive(per_s);
            self.work();
            self.leave();
        }
    }

    fn arrive(&mut self, per_s: [f64; KINDS.len()]) {
        let now = self.now();
        for (kind, per_s) in per_s.into_iter().enumerate() {
            let mut expected = per_s * STEP_MS as f64 / 1_000.0;
            while self.rng.random::<f64>() < expected {
                expected -= 1.0;
                self.next += 1;
                let caller = Caller {
                    came_back: false,
                    deadline: now + self.time_limit(),
                    document: self.rng.random_range(0..KINDS[kind].documents),
                    kind,
                    number: self.next,
                    own_tokens: self.rng.random_range(100..KINDS[kind].tokens / 2),
                };
                self.counts[kind].came += 1;
                if kind + 1 == KINDS.len() {
                    self.by_size[caller.size()].0 += 1;
                }
                self.ask(caller);
            }
        }
        while let Some(entry) = self.returning.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let caller = entry.remove();
            self.counts[caller.kind].returned += 1;
            self.ask(caller);
        }
    }

    fn time_limit(&mut self) -> Duration {
        if self.limits_differ {
            TIME_LIMIT.mul_f64(self.rng.random_range(0.5..1.0))
        } else {
            TIME_LIMIT
        }
    }

    fn ask(&mut self, caller: Caller) {
        let host = self.rng.random_range(0..self.hosts.len());
        let kind = &KINDS[caller.kind];
        let document = 1_000 * (1 + caller.kind as u64) + caller.document;
        let parts = [
            (document, kind.tokens),
            (1_000_000 + caller.number, caller.own_tokens),
        ];
        let ask = Ask {
            body: Some(caller.number.to_string()),
            time_limit: caller.deadline.since(self.now()),
            ..Ask::prompt(kind.name, kind.key, &parts)
        };
        let (request, actions) = self.hosts[host].ask(ask);
        self.callers.insert((host, request), caller);
        self.carry_out(host, actions);
    }

    fn tell(&mut self, host: usize, event: Event) {
        let actions = self.hosts[host].handle(event);
        self.hosts[host].actions.clear();
        self.carry_out(host, actions);
    }

    fn carry_out(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { order, request } => self.place(host, request, &order),
                Action::Refuse { refusal, request } => self.refused(host, request, refusal),
                Action::SendLoadNotes { notes } => {
                    for (to, note) in notes {
                        let to = (0..self.hosts.len()).find(|number| address(*number) == to);
                        let to =
                            to.filter(|to| !self.cut.contains(to) && !self.cut.contains(&host));
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

    fn refused(&mut self, host: usize, request: RequestId, refusal: Refusal) {
        let was_sent = self.sent.contains(&(host, request));
        let says_not_run = refusal.verdict == Verdict::NotRun;
        let early = refusal.reason == RefusalReason::NoTimeLeft;
        self.untrue += usize::from(was_sent && (says_not_run || early));
        let Some(caller) = self.callers.remove(&(host, request)) else {
            return;
        };
        if caller.came_back || !early {
            return;
        }
        self.counts[caller.kind].refused += 1;
        let left = caller.deadline.since(self.now());
        if let Some(after) = refusal.retry_after.filter(|after| *after <= left / 3) {
            let caller = Caller {
                came_back: true,
                ..caller
            };
            let key = (self.now() + after, caller.number);
            self.returning.insert(key, caller);
        }
    }

    fn place(&mut self, host: usize, request: RequestId, order: &SendOrder) {
        self.sent.insert((host, request));
        let caller = &self.callers[&(host, request)];
        let is_lost = self.is_lost(&order.upstream);
        let engine = self.engines.get_mut(&order.upstream).unwrap();
        if is_lost || engine.placed.len() >= SLOTS + WAITING {
            // Its host learns at once that it did not run.
            let (cause, verdict) = (FailureCause::Busy, Verdict::NotRun);
            self.sent.remove(&(host, request));
            let actions = self.hosts[host].fail(order, request, cause, verdict, false);
            self.carry_out(host, actions);
            return;
        }
        let key = (caller.kind, caller.document);
        let document = if engine.kept.insert(key) {
            KINDS[caller.kind].tokens
        } else {
            0
        };
        engine.placed.push(Placed {
            attempt: order.attempt,
            ends: None,
            host,
            is_begun: false,
            priority: order.priority,
            request,
            unread: document + caller.own_tokens,
        });
    }

    fn is_lost(&self, id: &UpstreamId) -> bool {
        let lost = self.engines.keys().take(self.lost_engines);
        lost.into_iter().any(|lost| lost == id)
    }

    /// Engines end, begin the most urgent that wait, and read.
    fn work(&mut self) {
        let now = self.now();
        let mut events = Vec::new();
        let lost: BTreeSet<UpstreamId> = self
            .engines
            .keys()
            .take(self.lost_engines)
            .cloned()
            .collect();
        for (id, engine) in &mut self.engines {
            if lost.contains(id) {
                continue;
            }
            let over = engine
                .placed
                .extract_if(.., |placed| placed.ends.is_some_and(|at| at <= now));
            events.extend(over.map(|placed| (placed, true)));
            engine
                .placed
                .sort_by_key(|placed| (!placed.is_begun, placed.priority));
            for placed in engine.placed.iter_mut().take(SLOTS) {
                placed.is_begun = true;
            }
            let mut budget = READ_IN_STEP;
            for placed in engine.placed.iter_mut().take(SLOTS) {
                let read = placed.unread.min(budget);
                budget -= read;
                placed.unread -= read;
                if placed.unread == 0 && placed.ends.is_none() {
                    placed.ends = Some(now);
                    events.push((placed.clone(), false));
                }
            }
        }
        for (placed, ended) in events {
            let kind = self
                .callers
                .get(&(placed.host, placed.request))
                .map(|caller| caller.kind);
            let Some(kind) = kind else { continue };
            if ended {
                self.served(&placed);
                continue;
            }
            let answer = now.plus_ms(KINDS[kind].answer_ms);
            for engine in self.engines.values_mut() {
                let own = engine
                    .placed
                    .iter_mut()
                    .find(|own| own.attempt == placed.attempt);
                if let Some(own) = own {
                    own.ends = Some(answer);
                }
            }
            self.tell(
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

    fn served(&mut self, placed: &Placed) {
        let caller = self.callers.remove(&(placed.host, placed.request)).unwrap();
        let counts = &mut self.counts[caller.kind];
        counts.served += 1;
        counts.returned_served += usize::from(caller.came_back);
        if caller.kind + 1 == KINDS.len() {
            self.by_size[caller.size()].1 += 1;
        }
        self.tell(
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
    fn leave(&mut self) {
        let now = self.now();
        let late = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.deadline <= now);
        let late: Vec<(usize, RequestId)> = late.map(|(key, _)| *key).collect();
        for (host, request) in late {
            let caller = self.callers.remove(&(host, request)).unwrap();
            self.counts[caller.kind].lost += 1;
            self.tell(host, Event::CallerGone { request });
        }
    }
}

impl Caller {
    /// Whether it is in the smaller or the larger half of its class.
    fn size(&self) -> usize {
        usize::from(self.own_tokens >= KINDS[self.kind].tokens / 4)
    }
}
