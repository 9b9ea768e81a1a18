//! Many hosts that learn nothing of each other, before engines with few places that refuse
//! what does not fit.

use {
    crate::support::{Host, TestRequest, engines},
    policy::{Action, AttemptEnd, Event, SendOrder},
    std::{collections::BTreeMap, time::Duration},
    types::prelude::*,
};

const HOSTS: usize = 24;
const ENGINES: usize = 30;

/// Prompts that an engine works on at a time, and that wait there beyond those.
const SLOTS: usize = 8;
const WAITING: usize = 4;

/// Time of one step of the world.
const STEP_MS: u64 = 10;

/// Classes, the most urgent first: what they are called, which team sends them, the time that
/// one takes an engine, and the time between two at one host.
const CLASSES: [(&str, &str, u64, u64); 3] = [
    ("question", "first-key", 200, 500),
    ("draft", "shop-key", 300, 400),
    ("summary", "shop-key", 600, 30),
];

/// A prompt at an engine.
#[derive(Clone, Debug)]
struct Placed {
    attempt: AttemptId,
    class: usize,
    /// When it will have run; `None` while it waits.
    ends: Option<Time>,
    host: usize,
    priority: u8,
    request: RequestId,
}

#[derive(Default)]
struct Engine {
    placed: Vec<Placed>,
}

impl Engine {
    fn running(&self) -> usize {
        let running = self.placed.iter().filter(|placed| placed.ends.is_some());
        running.count()
    }

    /// Lets the most urgent ones that wait begin; gives them.
    fn begin(&mut self, now: Time) -> Vec<Placed> {
        let mut begun = Vec::new();
        while self.running() < SLOTS {
            let waiting = self
                .placed
                .iter_mut()
                .filter(|placed| placed.ends.is_none());
            let Some(next) = waiting.min_by_key(|placed| placed.priority) else {
                break;
            };
            next.ends = Some(now.plus_ms(CLASSES[next.class].2));
            begun.push(next.clone());
        }
        begun
    }
}

/// How many requests of a class came, were refused for good, and were begun by engines.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    begun: usize,
    came: usize,
    refused: usize,
}

struct World {
    class_of: BTreeMap<(usize, RequestId), (usize, bool)>,
    counted: bool,
    counts: [Count; CLASSES.len()],
    engines: BTreeMap<UpstreamId, Engine>,
    hosts: Vec<Host>,
    /// Refusals by engines that are under way.
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
            counted: false,
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
            // Knowledge of the configuration is not what is looked at.
            self.hosts[host].handle(Event::ConfigurationConfirmed { as_of: now });
            let actions = self.hosts[host].handle(Event::Ticked);
            self.carry_out(host, &actions);
            self.arrive(host, now);
        }
        for (host, request, order) in std::mem::take(&mut self.refusals) {
            let (cause, verdict) = (FailureCause::Busy, Verdict::NotRun);
            let actions = self.hosts[host].fail(&order, request, cause, verdict, false);
            self.carry_out(host, &actions);
        }
        self.work();
    }

    fn arrive(&mut self, host: usize, now: Time) {
        for (class, (name, key, _, every_ms)) in CLASSES.into_iter().enumerate() {
            // Hosts are out of step with each other.
            let moment = now.as_us() / 1_000 + 7 * STEP_MS * host as u64;
            if moment % every_ms >= STEP_MS {
                continue;
            }
            let number = moment / every_ms + 1_000 * host as u64;
            let parts = [(number % 40, 5_000), (100_000 + number, 500)];
            let (request, actions) = self.hosts[host].ask(TestRequest::prompt(name, key, &parts));
            self.class_of.insert((host, request), (class, self.counted));
            self.counts[class].came += usize::from(self.counted);
            self.carry_out(host, &actions);
        }
    }

    fn carry_out(&mut self, host: usize, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { order, request } => self.place(host, *request, order),
                Action::Refuse { request, .. } => {
                    let (class, counted) = self.class_of[&(host, *request)];
                    self.counts[class].refused += usize::from(counted);
                }
                _ => {}
            }
        }
    }

    fn place(&mut self, host: usize, request: RequestId, order: &SendOrder) {
        let engine = self.engines.get_mut(&order.upstream).unwrap();
        if engine.placed.len() >= SLOTS + WAITING {
            self.refusals.push((host, request, order.clone()));
            return;
        }
        engine.placed.push(Placed {
            attempt: order.attempt,
            class: self.class_of[&(host, request)].0,
            ends: None,
            host,
            priority: order.priority,
            request,
        });
    }

    fn work(&mut self) {
        let now = self.hosts[0].now;
        let ids: Vec<UpstreamId> = self.engines.keys().cloned().collect();
        for id in ids {
            let engine = self.engines.get_mut(&id).unwrap();
            let is_over = |placed: &Placed| placed.ends.is_some_and(|ends| ends <= now);
            let over: Vec<Placed> = engine
                .placed
                .extract_if(.., |placed| is_over(placed))
                .collect();
            let begun = engine.begin(now);
            for placed in over {
                let actions = self.hosts[placed.host].handle(Event::AttemptEnded {
                    attempt: placed.attempt,
                    end: AttemptEnd::Completed {
                        response: None,
                        longest_pause: Duration::ZERO,
                        tokens: Tokens::default(),
                    },
                    request: placed.request,
                });
                self.carry_out(placed.host, &actions);
            }
            for placed in begun {
                self.counts[placed.class].begun += usize::from(self.counted);
                self.hosts[placed.host].handle(Event::Progressed {
                    attempt: placed.attempt,
                    longest_pause: Duration::ZERO,
                    request: placed.request,
                    tokens: Tokens::new(5),
                });
            }
        }
    }
}

/// Symptom: one in seven prompts of a more urgent class gets nothing for seconds, while long
/// ones of the least urgent class begin. Events: all hosts have just started; twice as many
/// of the latter come as all engines can serve; engines refuse what does not fit, whatever
/// its priority. Cause: each host sends all that it is asked for, and the engines' places are
/// taken by whoever comes most often.
#[test]
fn more_urgent_prompts_get_through_when_engines_are_full_of_others() {
    let mut world = World::new();
    world.pass(1_000);
    world.counted = true;
    world.pass(5_000);
    world.counted = false;
    world.pass(3_000);
    let [question, draft, summary] = world.counts;
    for count in [question, draft] {
        assert!(12 * count.refused <= count.came, "{count:?}");
    }
    // The engines are kept at work all the same.
    let possible = 5_000 / CLASSES[2].2 as usize * SLOTS * ENGINES;
    let taken = question.begun / 3 + draft.begun / 2;
    assert!(
        summary.begun + taken >= possible * 8 / 10,
        "{:?}",
        world.counts
    );
}
