use super::*;

/// Delay before the retry of a request that an engine refused.
const RETRY_MS: u64 = 200;

/// Baseline: the power of two choices. A host picks two engines at random and sends the
/// request without queueing to the less loaded engine, by the last load report plus the
/// host's own sends since that report. Engines order waiting requests by priority.
pub struct ChoiceOfTwo {
    host_and_engine_of: BTreeMap<usize, (usize, usize)>,
    loads: Vec<u32>,
    priorities: BTreeMap<usize, u8>,
    retries: BTreeMap<(Time, usize), usize>,
    rng: SmallRng,
    sent_since_report: Vec<Vec<u32>>,
}

impl ChoiceOfTwo {
    pub fn new(site: &Site, seed: u64) -> Self {
        Self {
            host_and_engine_of: BTreeMap::new(),
            loads: vec![0; site.engines],
            priorities: BTreeMap::new(),
            retries: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            sent_since_report: vec![vec![0; site.engines]; site.hosts],
        }
    }

    fn send(&mut self, request: usize, host: usize) -> Vec<Start> {
        let engines = self.loads.len();
        let first = self.rng.random_range(0..engines);
        let second = self.rng.random_range(0..engines);
        let load = |engine: usize| self.loads[engine] + self.sent_since_report[host][engine];
        let engine = if load(first) <= load(second) {
            first
        } else {
            second
        };
        self.sent_since_report[host][engine] += 1;
        self.host_and_engine_of.insert(request, (host, engine));
        vec![Start {
            engine,
            priority: self.priorities[&request],
            request,
        }]
    }
}

impl BenchRouter for ChoiceOfTwo {
    fn arrive(&mut self, _now: Time, request: usize, wanted: &BenchRequest) -> Vec<Start> {
        self.priorities.insert(request, CLASSES[wanted.class].tier);
        self.send(request, wanted.host)
    }

    fn ended(&mut self, _now: Time, request: usize, _tokens: u32) -> Vec<Start> {
        self.host_and_engine_of.remove(&request);
        Vec::new()
    }

    fn refused(&mut self, now: Time, request: usize) -> Vec<Start> {
        let (host, _) = self.host_and_engine_of.remove(&request).unwrap();
        self.retries.insert((now.plus_ms(RETRY_MS), request), host);
        Vec::new()
    }

    fn reported(&mut self, _now: Time, loads: &[(u32, u32)]) -> Vec<Start> {
        self.loads = loads
            .iter()
            .map(|(running, waiting)| running + waiting)
            .collect();
        for sent in &mut self.sent_since_report {
            sent.fill(0);
        }
        Vec::new()
    }

    fn tick(&mut self, now: Time) -> Vec<Start> {
        let mut starts = Vec::new();
        while let Some(((at, request), host)) = self.retries.pop_first() {
            if at > now {
                self.retries.insert((at, request), host);
                break;
            }
            starts.extend(self.send(request, host));
        }
        starts
    }
}
