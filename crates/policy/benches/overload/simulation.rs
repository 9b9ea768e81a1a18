use super::*;

/// Maximum number of requests that wait in an engine's own queue.
pub const QUEUE_BOUND: u32 = 8;

/// Prefill time of a prompt.
const PREFILL_US: u64 = 60_000;

/// Time to generate one token after the first.
const TOKEN_US: u64 = 20_000;

/// Time between two ticks.
const TICK_US: u64 = 10_000;

/// Time between two load reports. A report shows the load when it is taken; the router
/// reads the report half an interval later.
const REPORT_US: u64 = 500_000;

/// Virtual time after the end of arrivals; requests unfinished by then count as unserved.
const DRAIN_S: u64 = 120;

/// The engines and hosts of a benchmark.
pub struct Site {
    pub engines: usize,
    pub hosts: usize,
    /// Ratio of the first host's arrival rate to that of each other host.
    pub skew: f64,
    pub slots: u32,
}

/// Time for which a response of `tokens` tokens occupies a slot.
pub fn service_time(tokens: u32) -> std::time::Duration {
    std::time::Duration::from_micros(PREFILL_US + u64::from(tokens.max(1) - 1) * TOKEN_US)
}

/// Time from the start of a request in a slot to its first token.
pub fn prefill_time() -> std::time::Duration {
    std::time::Duration::from_micros(PREFILL_US)
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimEvent {
    Arrive(usize),
    End { engine: usize, request: usize },
    FirstToken(usize),
    Report,
    ReportRead,
    Tick,
}

#[derive(Default)]
struct Engine {
    running: u32,
    waiting: BTreeMap<(u8, u64), usize>,
}

struct Simulation<'a> {
    engines: Vec<Engine>,
    events: BinaryHeap<Reverse<(Time, u64, SimEvent)>>,
    first_token: Vec<Option<Time>>,
    loads: Vec<(u32, u32)>,
    requests: &'a [BenchRequest],
    result: BenchResult,
    seq: u64,
    slots: u32,
}

/// Simulates the requests against a router and counts the results.
pub fn run(site: &Site, requests: &[BenchRequest], router: &mut dyn BenchRouter) -> BenchResult {
    let mut simulation = Simulation {
        engines: (0..site.engines).map(|_| Engine::default()).collect(),
        events: BinaryHeap::new(),
        first_token: vec![None; requests.len()],
        loads: vec![(0, 0); site.engines],
        requests,
        result: BenchResult::default(),
        seq: 0,
        slots: site.slots,
    };
    for (number, request) in requests.iter().enumerate() {
        simulation.result.classes[request.class].total += 1;
        simulation.push(request.at, SimEvent::Arrive(number));
    }
    simulation.push(Time::from_us(TICK_US), SimEvent::Tick);
    simulation.push(Time::from_us(REPORT_US), SimEvent::Report);
    let end = Time::from_ms((bench_request::DURATION_S as u64 + DRAIN_S) * 1_000);
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        if now > end {
            break;
        }
        let starts = simulation.process_event(now, event, router);
        simulation.start_all(now, starts, router);
    }
    simulation.result
}

impl Simulation<'_> {
    fn push(&mut self, at: Time, event: SimEvent) {
        self.seq += 1;
        self.events.push(Reverse((at, self.seq, event)));
    }

    fn process_event(
        &mut self,
        now: Time,
        event: SimEvent,
        router: &mut dyn BenchRouter,
    ) -> Vec<Start> {
        match event {
            SimEvent::Arrive(request) => router.arrive(now, request, &self.requests[request]),
            SimEvent::End { engine, request } => {
                self.count_end(now, request);
                self.release_slot(now, engine);
                router.ended(now, request, self.requests[request].tokens)
            }
            SimEvent::FirstToken(request) => {
                self.first_token[request] = Some(now);
                router.first_token(now, request);
                Vec::new()
            }
            SimEvent::Report => {
                let loads = self.engines.iter();
                self.loads = loads
                    .map(|engine| (engine.running, engine.waiting.len() as u32))
                    .collect();
                let half = std::time::Duration::from_micros(REPORT_US / 2);
                self.push(now + half, SimEvent::ReportRead);
                self.push(now + half + half, SimEvent::Report);
                Vec::new()
            }
            SimEvent::ReportRead => router.reported(now, &self.loads),
            SimEvent::Tick => {
                let next = now + std::time::Duration::from_micros(TICK_US);
                self.push(next, SimEvent::Tick);
                router.tick(now)
            }
        }
    }

    fn start_all(&mut self, now: Time, starts: Vec<Start>, router: &mut dyn BenchRouter) {
        let mut left: VecDeque<Start> = starts.into();
        while let Some(start) = left.pop_front() {
            let engine = &mut self.engines[start.engine];
            if engine.running < self.slots {
                engine.running += 1;
                self.begin(now, start.engine, start.request);
            } else if (engine.waiting.len() as u32) < QUEUE_BOUND {
                self.seq += 1;
                let place = (start.priority, self.seq);
                engine.waiting.insert(place, start.request);
            } else {
                self.result.refused_by_engine += 1;
                left.extend(router.refused(now, start.request));
            }
        }
    }

    fn begin(&mut self, now: Time, engine: usize, request: usize) {
        let tokens = self.requests[request].tokens;
        self.push(now + prefill_time(), SimEvent::FirstToken(request));
        self.push(
            now + service_time(tokens),
            SimEvent::End { engine, request },
        );
    }

    fn release_slot(&mut self, now: Time, engine: usize) {
        match self.engines[engine].waiting.pop_first() {
            Some((_, next)) => self.begin(now, engine, next),
            None => self.engines[engine].running -= 1,
        }
    }

    fn count_end(&mut self, _now: Time, request: usize) {
        let wanted = &self.requests[request];
        let class = &mut self.result.classes[wanted.class];
        class.finished += 1;
        let met = self.first_token[request].is_some_and(|first| first <= wanted.due());
        if met {
            class.met += 1;
            self.result.good_tokens += u64::from(wanted.tokens);
        }
        self.result.tokens += u64::from(wanted.tokens);
    }
}
