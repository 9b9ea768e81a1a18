use super::*;

/// Baseline: assigns requests to engines by round robin; each engine has a first-in,
/// first-out queue.
pub struct FirstInFirstOut {
    engine_of: BTreeMap<usize, usize>,
    next: usize,
    queues: Vec<VecDeque<usize>>,
    running: Vec<u32>,
    slots: u32,
}

impl FirstInFirstOut {
    pub fn new(site: &Site) -> Self {
        Self {
            engine_of: BTreeMap::new(),
            next: 0,
            queues: vec![VecDeque::new(); site.engines],
            running: vec![0; site.engines],
            slots: site.slots,
        }
    }

    fn fill(&mut self, engine: usize) -> Vec<Start> {
        let mut starts = Vec::new();
        while self.running[engine] < self.slots {
            let Some(request) = self.queues[engine].pop_front() else {
                break;
            };
            self.running[engine] += 1;
            starts.push(Start {
                engine,
                priority: 0,
                request,
            });
        }
        starts
    }
}

impl BenchRouter for FirstInFirstOut {
    fn arrive(&mut self, _now: Time, request: usize, _wanted: &BenchRequest) -> Vec<Start> {
        let engine = self.next % self.queues.len();
        self.next += 1;
        self.engine_of.insert(request, engine);
        self.queues[engine].push_back(request);
        self.fill(engine)
    }

    fn ended(&mut self, _now: Time, request: usize, _tokens: u32) -> Vec<Start> {
        let engine = self.engine_of.remove(&request).unwrap();
        self.running[engine] -= 1;
        self.fill(engine)
    }
}
