//! Many hosts that exchange no notes send prompts to engines with few slots. The engines refuse
//! prompts that exceed their slots and queue.

use {
    crate::support::{Host, TestRequest, engines},
    policy::{Action, AttemptEnd, Event, SendOrder},
    std::{collections::BTreeMap, time::Duration},
    types::prelude::*,
};

const HOSTS: usize = 24;
const ENGINES: usize = 30;

/// Prompts that an engine runs at the same time, and prompts that wait in its queue.
const SLOTS: usize = 8;
const MAX_WAITING: usize = 4;

/// Length of one simulation step.
const STEP_MS: u64 = 10;

/// Classes in order of urgency: the name, the key of the sending team, the run time of a prompt at
/// an engine in milliseconds, and the interval between prompts at one host in milliseconds.
const CLASSES: [(&str, &str, u64, u64); 3] = [
    ("question", "first-key", 200, 500),
    ("draft", "shop-key", 300, 400),
    ("summary", "shop-key", 600, 30),
];

/// A prompt that runs or waits at an engine.
#[derive(Clone, Debug)]
struct EnginePrompt {
    attempt: AttemptId,
    class: usize,
    /// Time at which the prompt finishes; `None` while it waits.
    ends_at: Option<Time>,
    host: usize,
    priority: u8,
    request: RequestId,
}

#[derive(Default)]
struct Engine {
    prompts: Vec<EnginePrompt>,
}

impl Engine {
    fn running(&self) -> usize {
        let running = self
            .prompts
            .iter()
            .filter(|prompt| prompt.ends_at.is_some());
        running.count()
    }

    /// Starts the most urgent waiting prompts while slots are free, and returns them.
    fn start_waiting(&mut self, now: Time) -> Vec<EnginePrompt> {
        let mut started = Vec::new();
        while self.running() < SLOTS {
            let waiting = self
                .prompts
                .iter_mut()
                .filter(|prompt| prompt.ends_at.is_none());
            let Some(next) = waiting.min_by_key(|prompt| prompt.priority) else {
                break;
            };
            next.ends_at = Some(now.plus_ms(CLASSES[next.class].2));
            started.push(next.clone());
        }
        started
    }
}

/// Numbers of requests of a class that arrived, were finally refused, and were started by engines.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts {
    started: usize,
    arrived: usize,
    refused: usize,
}

struct World {
    class_of: BTreeMap<(usize, RequestId), (usize, bool)>,
    is_counting: bool,
    counts: [ClassCounts; CLASSES.len()],
    engines: BTreeMap<UpstreamId, Engine>,
    hosts: Vec<Host>,
    /// Refusals by engines that have not reached the host yet.
    refusals: Vec<(usize, RequestId, SendOrder)>,
}

impl World {
    fn new() -> Self {
        let mut hosts: Vec<Host> = (0..HOSTS as u64).map(Host::new).collect();
        for host in &mut hosts {
            host.list_hosts(HOSTS);
            host.read_directory(engines(ENGINES), &[]);
        }
        Self {
            class_of: BTreeMap::new(),
            is_counting: false,
            counts: Default::default(),
            engines: engines(ENGINES)
                .into_keys()
                .map(|id| (id, Engine::default()))
                .collect(),
            hosts,
            refusals: Vec::new(),
        }
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.step();
        }
    }

    fn step(&mut self) {
        for host in 0..HOSTS {
            self.hosts[host].now = self.hosts[host].now.plus_ms(STEP_MS);
            let now = self.hosts[host].now;
            // Keep the configuration confirmed, since stale configurations are not tested here.
            self.hosts[host].handle(Event::ConfigurationConfirmed { as_of: now });
            let actions = self.hosts[host].handle(Event::Ticked);
            self.apply_actions(host, &actions);
            self.arrive(host, now);
        }
        for (host, request, order) in std::mem::take(&mut self.refusals) {
            let (cause, verdict) = (FailureCause::Busy, Verdict::NotRun);
            let actions = self.hosts[host].fail(&order, request, cause, verdict, false);
            self.apply_actions(host, &actions);
        }
        self.run_engines();
    }

    fn arrive(&mut self, host: usize, now: Time) {
        for (class, (name, key, _, interval_ms)) in CLASSES.into_iter().enumerate() {
            // Each host sends at its own offset within the interval.
            let now_ms = now.as_us() / 1_000 + 7 * STEP_MS * host as u64;
            if now_ms % interval_ms >= STEP_MS {
                continue;
            }
            let number = now_ms / interval_ms + 1_000 * host as u64;
            let parts = [(number % 40, 5_000), (100_000 + number, 500)];
            let (request, actions) = self.hosts[host].ask(TestRequest::prompt(name, key, &parts));
            self.class_of
                .insert((host, request), (class, self.is_counting));
            self.counts[class].arrived += usize::from(self.is_counting);
            self.apply_actions(host, &actions);
        }
    }

    fn apply_actions(&mut self, host: usize, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { order, request } => self.place(host, *request, order),
                Action::Refuse { request, .. } => {
                    let (class, is_counting) = self.class_of[&(host, *request)];
                    self.counts[class].refused += usize::from(is_counting);
                }
                _ => {}
            }
        }
    }

    fn place(&mut self, host: usize, request: RequestId, order: &SendOrder) {
        let engine = self.engines.get_mut(&order.upstream).unwrap();
        if engine.prompts.len() >= SLOTS + MAX_WAITING {
            self.refusals.push((host, request, order.clone()));
            return;
        }
        engine.prompts.push(EnginePrompt {
            attempt: order.attempt,
            class: self.class_of[&(host, request)].0,
            ends_at: None,
            host,
            priority: order.priority,
            request,
        });
    }

    fn run_engines(&mut self) {
        let now = self.hosts[0].now;
        let ids: Vec<UpstreamId> = self.engines.keys().cloned().collect();
        for id in ids {
            let engine = self.engines.get_mut(&id).unwrap();
            let is_finished =
                |prompt: &EnginePrompt| prompt.ends_at.is_some_and(|ends_at| ends_at <= now);
            let finished: Vec<EnginePrompt> = engine
                .prompts
                .extract_if(.., |prompt| is_finished(prompt))
                .collect();
            let started = engine.start_waiting(now);
            for prompt in finished {
                let actions = self.hosts[prompt.host].handle(Event::AttemptEnded {
                    attempt: prompt.attempt,
                    end: AttemptEnd::Completed {
                        response: None,
                        longest_pause: Duration::ZERO,
                        tokens: Tokens::default(),
                    },
                    request: prompt.request,
                });
                self.apply_actions(prompt.host, &actions);
            }
            for prompt in started {
                self.counts[prompt.class].started += usize::from(self.is_counting);
                self.hosts[prompt.host].handle(Event::Progressed {
                    attempt: prompt.attempt,
                    longest_pause: Duration::ZERO,
                    request: prompt.request,
                    tokens: Tokens::new(5),
                });
            }
        }
    }
}

/// Guards against refusing one in seven prompts of the more urgent classes while long prompts of
/// the least urgent class start. This happens after all hosts start at the same time with twice as
/// many of the latter as the engines can serve: engines refuse what exceeds their capacity
/// whatever its priority, and if each host sends all its requests, the class that arrives most
/// often takes the slots.
#[test]
fn more_urgent_prompts_get_through_when_engines_are_full_of_others() {
    let mut world = World::new();
    world.pass(1_000);
    world.is_counting = true;
    world.pass(5_000);
    world.is_counting = false;
    world.pass(3_000);
    let [question, draft, summary] = world.counts;
    for count in [question, draft] {
        assert!(12 * count.refused <= count.arrived, "{count:?}");
    }
    // The engines must still be well utilized.
    let capacity = 5_000 / CLASSES[2].2 as usize * SLOTS * ENGINES;
    let used_by_urgent = question.started / 3 + draft.started / 2;
    assert!(
        summary.started + used_by_urgent >= capacity * 8 / 10,
        "{:?}",
        world.counts
    );
}
