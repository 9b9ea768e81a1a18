use {
    peer::{ModelWork, UsageNote},
    policy::{CapacityOrder, CapacityPlan, DemandLedger, PoolCapacity, TargetBound},
    std::time::Duration,
    types::prelude::*,
};

/// Interval of the simulation steps.
const STEP: Duration = Duration::from_millis(400);

/// Time from an order until the upstream is ready.
const START_TIME: Duration = Duration::from_secs(4);
const HOSTS: u64 = 6;

/// Price of a regular upstream in each failure domain.
const PRICES: [f64; 3] = [1.0, 0.8, 1.25];

/// Price of a reclaimable upstream as a fraction of the price of a regular one.
const RECLAIMABLE_PRICE: f64 = 0.22;

/// Initial upstreams of each failure domain, all regular.
const INITIAL_UPSTREAMS: u32 = 20;

/// Seconds from the start of the hosts until the first requests.
const WARM_UP_S: u64 = 14;

/// Share of the load in urgent classes.
const URGENT_SHARE: f64 = 0.6;

/// Load by seconds since the first requests.
#[derive(Clone, Copy)]
pub struct Load {
    /// Number of upstreams that the load keeps busy.
    pub busy: fn(u64) -> f64,
    /// Whether the hosts report their work.
    pub is_reported: fn(u64) -> bool,
}

/// Totals of a simulation. Work is measured in upstream-seconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimulationTotals {
    /// Work that exceeded the ready upstreams.
    pub excess_work: f64,
    /// Urgent work that exceeded the ready upstreams.
    pub excess_urgent_work: f64,
    /// Upstream-seconds multiplied by the price.
    pub cost: f64,
}

/// Simulated service in three failure domains, in virtual time. Ordered upstreams are ready after
/// [`START_TIME`].
pub struct SimulatedService {
    /// Starting upstreams: when each is ready, its failure domain, and whether it is reclaimable.
    booting: Vec<(Time, usize, bool)>,
    follows_demand: bool,
    ledger: DemandLedger,
    load: Load,
    pub loses_orders: bool,
    now: Time,
    /// Number of accepted orders.
    pub orders: usize,
    pub plan: CapacityPlan,
    pub totals: SimulationTotals,
    /// Reclaimable and regular upstreams by failure domain.
    ready: [[u32; 2]; 3],
    reclaimed_until: [Time; 3],
    pub offers_reclaimable: bool,
    total_ms: f64,
}

impl SimulatedService {
    pub fn new(load: Load) -> Self {
        Self::started(load, true)
    }

    /// Creates a service whose plan ignores the demand.
    pub fn without_demand(load: Load) -> Self {
        Self::started(load, false)
    }

    fn started(load: Load, follows_demand: bool) -> Self {
        let mut service = Self {
            booting: Vec::new(),
            follows_demand,
            ledger: DemandLedger::default(),
            load,
            loses_orders: false,
            now: Time::from_ms(1_000),
            orders: 0,
            plan: CapacityPlan::default(),
            totals: SimulationTotals::default(),
            ready: [[0, INITIAL_UPSTREAMS]; 3],
            reclaimed_until: [Time::default(); 3],
            offers_reclaimable: true,
            total_ms: 0.0,
        };
        service.advance(Duration::from_secs(WARM_UP_S));
        service
    }

    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Number of upstreams that accept requests.
    pub fn ready(&self) -> u32 {
        self.ready.iter().flatten().sum()
    }

    /// Number of regular upstreams that accept requests.
    pub fn regular(&self) -> u32 {
        self.ready.iter().map(|[_, regular]| regular).sum()
    }

    pub fn bound(&self) -> TargetBound {
        let view = self.plan.demand_view(&service(), &self.pools());
        view.unwrap().bound
    }

    /// Takes away the reclaimable upstreams of a failure domain and refuses new ones for `span`.
    pub fn reclaim(&mut self, domain: usize, span: Duration) {
        self.ready[domain][0] = 0;
        self.reclaimed_until[domain] = self.now + span;
        self.booting
            .retain(|(_, of, is_reclaimable)| *of != domain || !is_reclaimable);
    }

    pub fn change_lease_holder(&mut self) {
        let (baselines, targets) = (self.plan.baselines(), self.plan.targets());
        self.ledger = DemandLedger::default();
        self.plan = CapacityPlan::default();
        self.plan.restore_baselines(baselines);
        self.plan.restore_targets(targets);
    }

    /// Seconds since the first requests; `None` before them.
    fn load_second(&self) -> Option<u64> {
        (self.now.as_us() / 1_000_000).checked_sub(WARM_UP_S + 1)
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        let started = self.booting.extract_if(.., |(at, ..)| *at <= now);
        for (_, domain, is_reclaimable) in started.collect::<Vec<_>>() {
            self.ready[domain][usize::from(!is_reclaimable)] += 1;
        }
        let busy = self.load_second().map_or(0.0, self.load.busy);
        self.total_ms += busy * STEP.as_millis() as f64;
        self.update_totals(busy);
        if self.load_second().is_none_or(self.load.is_reported) {
            self.send_usage_notes();
        }
        let pools = self.pools();
        if self.follows_demand {
            let observed = self.ledger.observed_demand(now, HOSTS as usize);
            self.plan.update_demand(now, observed.as_ref(), &pools);
        }
        for order in self.plan.orders(now, &pools) {
            if !self.loses_orders {
                self.handle_order(&order);
            }
        }
    }

    fn update_totals(&mut self, busy: f64) {
        let step_s = STEP.as_secs_f64();
        let ready = f64::from(self.ready());
        self.totals.excess_work += (busy - ready).max(0.0) * step_s;
        self.totals.excess_urgent_work += (busy * URGENT_SHARE - ready).max(0.0) * step_s;
        for (domain, [reclaimable, regular]) in self.ready.iter().enumerate() {
            let count = f64::from(*reclaimable) * RECLAIMABLE_PRICE + f64::from(*regular);
            self.totals.cost += count * PRICES[domain] * step_s;
        }
    }

    fn send_usage_notes(&mut self) {
        for host in 0..HOSTS {
            let note = UsageNote {
                host: format!("host-{host}").parse().unwrap(),
                incarnation: Incarnation::new(host),
                protocol: peer::PROTOCOL,
                unix_ms: 0,
                windows: Vec::new(),
                work: vec![ModelWork {
                    in_flight: 0,
                    model: "pool".parse().unwrap(),
                    total_ms: (self.total_ms / HOSTS as f64) as u64,
                    waiting_ms: 0,
                }],
            };
            self.ledger.record(self.now, &note);
        }
    }

    fn pools(&self) -> Vec<PoolCapacity> {
        let domains = ["a", "b", "c"].iter().zip(self.ready).zip(PRICES);
        domains
            .map(
                |((domain, [reclaimable_ready, regular_ready]), price)| PoolCapacity {
                    domain: domain.parse().unwrap(),
                    max: INITIAL_UPSTREAMS * 2,
                    min: 1,
                    model: self.follows_demand.then(|| "pool".parse().unwrap()),
                    price: Some(price),
                    reclaimable_price: Some(RECLAIMABLE_PRICE),
                    reclaimable_ready,
                    regular_ready,
                    service: service(),
                    slots: 64,
                    start_time: None,
                },
            )
            .collect()
    }

    fn handle_order(&mut self, order: &CapacityOrder) {
        let domain = ["a", "b", "c"]
            .iter()
            .position(|name| *name == order.domain.as_str())
            .unwrap();
        let is_unavailable = !self.offers_reclaimable || self.now < self.reclaimed_until[domain];
        if order.is_reclaimable && is_unavailable {
            self.plan.note_refused(self.now, order);
            return;
        }
        self.orders += 1;
        self.plan.note_accepted(self.now, order);
        let kind = (domain, order.is_reclaimable);
        let ready = &mut self.ready[domain][usize::from(!order.is_reclaimable)];
        *ready = (*ready).min(order.count);
        let booting = self.booting.iter().filter(|(_, of, is)| (*of, *is) == kind);
        let present = *ready + booting.count() as u32;
        for _ in present..order.count {
            let (domain, is_reclaimable) = kind;
            self.booting
                .push((self.now + START_TIME, domain, is_reclaimable));
        }
    }
}

fn service() -> ServiceId {
    "pool".parse().unwrap()
}
