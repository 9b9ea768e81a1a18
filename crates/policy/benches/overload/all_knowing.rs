use super::*;

/// Intended upper bound for the other routers: one queue for all engines, with exact and
/// immediate knowledge of free slots and prefill time. Tiers have strict priority. Within a
/// tier, the request with the earliest due time that can still meet its target goes first.
/// Requests that can no longer meet their target are served when no other request waits.
pub struct AllKnowing {
    engine_of: BTreeMap<usize, usize>,
    late: VecDeque<usize>,
    running: Vec<u32>,
    slots: u32,
    tiers: Vec<BTreeMap<(Time, usize), ()>>,
}

impl AllKnowing {
    pub fn new(site: &Site) -> Self {
        Self {
            engine_of: BTreeMap::new(),
            late: VecDeque::new(),
            running: vec![0; site.engines],
            slots: site.slots,
            tiers: vec![BTreeMap::new(); CLASSES.len()],
        }
    }

    fn next(&mut self, now: Time) -> Option<usize> {
        for tier in &mut self.tiers {
            while let Some(((due, request), ())) = tier.pop_first() {
                if now + simulation::prefill_time() <= due {
                    return Some(request);
                }
                self.late.push_back(request);
            }
        }
        self.late.pop_front()
    }

    fn fill(&mut self, now: Time) -> Vec<Start> {
        let mut starts = Vec::new();
        for engine in 0..self.running.len() {
            while self.running[engine] < self.slots {
                let Some(request) = self.next(now) else {
                    return starts;
                };
                self.running[engine] += 1;
                self.engine_of.insert(request, engine);
                starts.push(Start {
                    engine,
                    priority: 0,
                    request,
                });
            }
        }
        starts
    }
}

impl BenchRouter for AllKnowing {
    fn arrive(&mut self, now: Time, request: usize, wanted: &BenchRequest) -> Vec<Start> {
        self.tiers[wanted.class].insert((wanted.due(), request), ());
        self.fill(now)
    }

    fn ended(&mut self, now: Time, request: usize, _tokens: u32) -> Vec<Start> {
        let engine = self.engine_of.remove(&request).unwrap();
        self.running[engine] -= 1;
        self.fill(now)
    }
}
