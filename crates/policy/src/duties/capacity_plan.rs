use super::*;

/// Time without a new upstream after which the number of upstreams counts as the one that the
/// operator wants. Upstreams register one after the other at the start.
const REGISTRATION_SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Pause before reclaimable upstreams are ordered again after a refusal. The pause doubles with
/// each further refusal, up to [`MAX_REFUSAL_BACKOFF`].
const INITIAL_REFUSAL_BACKOFF: Duration = Duration::from_secs(4);

/// Longest pause after a refusal. While no reclaimable upstreams are available for a long time,
/// each further order is a call without effect.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(8);

/// Share of a domain's baseline that stays regular, so that the domain keeps some upstreams when
/// all reclaimable ones are taken away.
const MIN_REGULAR_SHARE: f64 = 0.1;

/// Share of the baseline's price at regular rates that is spent. The savings on reclaimable
/// upstreams pay for additional ones, as a reserve for bursts.
const BUDGET_SHARE: f64 = 0.6;

/// Greatest baseline of a service for which reclaimable upstreams replace regular ones. Every
/// upstream that starts or stops is announced to all hosts, and thousands of announcements at once
/// would delay other updates that the hosts need in time.
const MAX_REPLACEABLE: u32 = 200;

/// Time for which enough reclaimable upstreams must have been ready before regular ones are
/// released. A released upstream loses its prompt cache.
const REGULAR_SCALE_DOWN_DELAY: Duration = Duration::from_millis(1_500);

/// Time after which an order that was not filled is placed again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(8);

/// Capacity of one service in one failure domain, as listed by the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolCapacity {
    /// Failure domain of the pool.
    pub domain: FailureDomainId,
    /// Maximum number of upstreams, regular and reclaimable together.
    pub max: u32,
    /// Minimum number of upstreams, regular and reclaimable together.
    pub min: u32,
    /// Model that the upstreams serve, if they are engines.
    pub model: Option<ModelId>,
    /// Price of a regular upstream, relative to the prices in other failure domains.
    pub price: Option<f64>,
    /// Price of a reclaimable upstream as a fraction of the price of a regular one; `None` if the
    /// pool has no reclaimable upstreams.
    pub reclaimable_price: Option<f64>,
    /// Reclaimable upstreams that accept requests.
    pub reclaimable_ready: u32,
    /// Regular upstreams that accept requests.
    pub regular_ready: u32,
    /// Service of the upstreams.
    pub service: ServiceId,
    /// Requests that an upstream runs concurrently.
    pub slots: u32,
    /// Time that an upstream takes to start, as configured by the operator.
    pub start_time: Option<Duration>,
}

/// Order for upstreams of one kind in one failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityOrder {
    /// Desired total number of upstreams of this kind, including those that already run.
    pub count: u32,
    /// Failure domain of the upstreams.
    pub domain: FailureDomainId,
    /// Whether the upstreams are of the kind that may be reclaimed.
    pub is_reclaimable: bool,
    /// Service of the upstreams.
    pub service: ServiceId,
}

/// Decides how many regular and reclaimable upstreams each failure domain should have.
///
/// Until demand is known, the plan keeps the number of upstreams present at the start (the
/// baseline) in all failure domains together, even after one domain has lost all its reclaimable
/// upstreams. Once demand is known, the number follows the demand.
///
/// Where reclaimable upstreams are cheaper, they replace most regular ones as soon as they are
/// ready. Regular ones are ordered immediately where too few reclaimable ones are left.
#[derive(Debug, Default)]
pub struct CapacityPlan {
    pools: BTreeMap<(ServiceId, FailureDomainId), PoolPlan>,
    services: BTreeMap<ServiceId, ServiceDemand>,
}

#[derive(Debug, Default)]
struct PoolPlan {
    /// When the baseline last grew.
    last_growth: Time,
    last_orders: BTreeMap<bool, PlacedOrder>,
    refusal_backoff: Option<Duration>,
    backoff_until: Time,
    /// Since when enough reclaimable upstreams have been ready.
    surplus_since: Option<Time>,
    /// Upstreams of both kinds that the demand requires; `None` until demand was first known.
    target: Option<u32>,
    /// Upstreams that were present at the start, which is the number that the operator wants.
    baseline: u32,
}

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    placed_at: Time,
    count: u32,
    /// Whether the ordered upstreams have not all started yet.
    is_pending: bool,
}

impl CapacityPlan {
    /// Baselines by service and failure domain, to be stored for the next lease holder.
    pub fn baselines(&self) -> Vec<(ServiceId, FailureDomainId, u32)> {
        let pools = self.pools.iter();
        pools
            .map(|((service, domain), pool)| (service.clone(), domain.clone(), pool.baseline))
            .collect()
    }

    /// Restores the baselines that an earlier lease holder stored.
    pub fn restore_baselines(&mut self, baselines: Vec<(ServiceId, FailureDomainId, u32)>) {
        for (service, domain, count) in baselines {
            let pool = self.pools.entry((service, domain)).or_default();
            pool.baseline = pool.baseline.max(count);
        }
    }

    /// Targets by service and failure domain, where they are set, to be stored for the next lease
    /// holder.
    pub fn targets(&self) -> Vec<(ServiceId, FailureDomainId, u32)> {
        let pools = self.pools.iter();
        pools
            .filter_map(|((service, domain), pool)| {
                Some((service.clone(), domain.clone(), pool.target?))
            })
            .collect()
    }

    /// Restores the targets that an earlier lease holder stored.
    pub fn restore_targets(&mut self, targets: Vec<(ServiceId, FailureDomainId, u32)>) {
        let mut counts: BTreeMap<ServiceId, u32> = BTreeMap::new();
        for (service, domain, count) in targets {
            let sum = counts.entry(service.clone()).or_default();
            *sum = sum.saturating_add(count);
            let pool = self.pools.entry((service, domain)).or_default();
            pool.target = Some(count);
        }
        for (service, count) in counts {
            let demand = self.services.entry(service).or_default();
            demand.target.set_initial(count);
        }
    }

    /// Updates the targets from the observed demand of all models; `None` if demand is currently
    /// unknown.
    pub fn update_demand(
        &mut self,
        now: Time,
        observed: Option<&BTreeMap<ModelId, ObservedDemand>>,
        pools: &[PoolCapacity],
    ) {
        let services: BTreeSet<&ServiceId> = pools.iter().map(|pool| &pool.service).collect();
        for service in services {
            let of_service = service_pools(pools, service);
            let Some(model) = of_service.iter().find_map(|pool| pool.model.as_ref()) else {
                continue;
            };
            let demand = observed.map(|models| models.get(model).copied().unwrap_or_default());
            let shares = domain_prices(&of_service)
                .unwrap_or_else(|| DomainPrices::equal(of_service.len()))
                .shares();
            let baseline = self.total_baseline(service);
            let planned_for_baseline = self.planned_for_baseline(&of_service);
            let state = self.services.entry(service.clone()).or_default();
            let before = state.target.count();
            if state.update(
                now,
                demand.as_ref(),
                &of_service,
                baseline,
                planned_for_baseline,
                &shares,
            ) && let Some(count) = state.target.count()
            {
                let grows = before.is_none_or(|before| before < count);
                self.split_target(count, grows, &of_service, &shares);
            }
        }
    }

    /// Demand of a service, if it is known.
    pub fn demand_view(&self, service: &ServiceId, pools: &[PoolCapacity]) -> Option<DemandView> {
        let of_service = service_pools(pools, service);
        Some(self.services.get(service)?.view(&of_service))
    }

    /// Desired number of upstreams of a service in a failure domain, regular and reclaimable
    /// together.
    pub fn desired_count(&self, service: &ServiceId, domain: &FailureDomainId) -> u32 {
        let pool = self.pools.get(&(service.clone(), domain.clone()));
        pool.map_or(0, PoolPlan::desired_count)
    }

    /// Upstreams of a service, of both kinds, that are planned for the baseline.
    fn planned_for_baseline(&self, of_service: &[&PoolCapacity]) -> u32 {
        let domains = of_service.len() as u32;
        let kept = of_service.iter().map(|capacity| {
            let plan = self.pools.get(&pool_key(capacity));
            plan.map_or(0, |plan| plan.planned_for_baseline(capacity, domains))
        });
        kept.sum()
    }

    /// Splits the target of a service among its failure domains. When the target grows, no domain
    /// loses upstreams, whatever its price.
    fn split_target(
        &mut self,
        count: u32,
        grows: bool,
        of_service: &[&PoolCapacity],
        shares: &[f64],
    ) {
        let domains = of_service.len() as u32;
        for (capacity, share) in of_service.iter().zip(shares) {
            let pool = self.pools.entry(pool_key(capacity)).or_default();
            let kept = pool
                .target
                .unwrap_or_else(|| pool.planned_for_baseline(capacity, domains));
            let least = if grows { kept } else { capacity.min };
            let count = (f64::from(count) * share).ceil() as u32;
            pool.target = Some(count.max(least).min(capacity.max));
        }
    }

    /// Orders to place now. `pools` are all pools for which upstreams can be ordered.
    pub fn orders(&mut self, now: Time, pools: &[PoolCapacity]) -> Vec<CapacityOrder> {
        let mut orders = Vec::new();
        for capacity in pools {
            let of_service = service_pools(pools, &capacity.service);
            let domains = of_service.len() as u32;
            let is_replaceable = self.total_baseline(&capacity.service) <= MAX_REPLACEABLE;
            let gap_fill = self.regular_for_gap(&of_service, capacity);
            let plan = self.pools.entry(pool_key(capacity)).or_default();
            let next = plan.next_orders(now, capacity, domains, gap_fill);
            if let Some(span) = plan.take_start_time(now, capacity) {
                let demand = self.services.entry(capacity.service.clone()).or_default();
                demand.start_time.record(span);
            }
            for (is_reclaimable, count) in next.into_iter().filter(|_| is_replaceable) {
                orders.push(CapacityOrder {
                    count,
                    domain: capacity.domain.clone(),
                    is_reclaimable,
                    service: capacity.service.clone(),
                });
            }
        }
        orders
    }

    /// Sum of a service's baselines in all failure domains.
    fn total_baseline(&self, service: &ServiceId) -> u32 {
        let of_service = self.pools.iter().filter(|((of, _), _)| of == service);
        of_service.map(|(_, plan)| plan.baseline).sum()
    }

    /// Regular upstreams that a domain needs above its minimum, so that all domains of a service
    /// together have the number required after a loss.
    fn regular_for_gap(&self, of_service: &[&PoolCapacity], capacity: &PoolCapacity) -> u32 {
        let gap = |pool: &PoolCapacity| {
            let plan = self.pools.get(&pool_key(pool));
            let base = plan.map_or(0, PoolPlan::min_regular);
            let least = plan.map_or(0, PoolPlan::min_after_loss);
            i64::from(least) - i64::from(base + pool.reclaimable_ready)
        };
        let missing: i64 = of_service.iter().map(|pool| gap(pool)).sum();
        let gaps: i64 = of_service.iter().map(|pool| gap(pool).max(0)).sum();
        if missing <= 0 || gaps == 0 {
            return 0;
        }
        let fill = (missing * gap(capacity).max(0)) as f64 / gaps as f64;
        fill.ceil() as u32
    }

    /// Records that an order was accepted.
    pub fn note_accepted(&mut self, now: Time, order: &CapacityOrder) {
        if let Some(plan) = self.plan_for(order) {
            let count = order.count;
            let before = plan.last_orders.get(&order.is_reclaimable);
            let ordered = PlacedOrder {
                placed_at: now,
                count,
                is_pending: before.is_none_or(|before| before.count < count),
            };
            if order.is_reclaimable {
                plan.refusal_backoff = None;
            }
            plan.last_orders.insert(order.is_reclaimable, ordered);
        }
    }

    /// Records that an order was refused because no upstreams of its kind are available.
    pub fn note_refused(&mut self, now: Time, order: &CapacityOrder) {
        if let Some(plan) = self.plan_for(order)
            && order.is_reclaimable
        {
            let pause = plan.refusal_backoff.unwrap_or(INITIAL_REFUSAL_BACKOFF);
            plan.refusal_backoff = Some((pause * 2).min(MAX_REFUSAL_BACKOFF));
            plan.backoff_until = now + pause;
        }
    }

    fn plan_for(&mut self, order: &CapacityOrder) -> Option<&mut PoolPlan> {
        let key = (order.service.clone(), order.domain.clone());
        self.pools.get_mut(&key)
    }
}

fn service_pools<'a>(pools: &'a [PoolCapacity], service: &ServiceId) -> Vec<&'a PoolCapacity> {
    let of_service = pools.iter().filter(|pool| pool.service == *service);
    of_service.collect()
}

/// Prices by failure domain; `None` if any price is missing or implausible.
pub(super) fn domain_prices(of_service: &[&PoolCapacity]) -> Option<DomainPrices> {
    DomainPrices::new(of_service.iter().map(|pool| pool.price))
}

fn pool_key(pool: &PoolCapacity) -> (ServiceId, FailureDomainId) {
    (pool.service.clone(), pool.domain.clone())
}

/// Regular upstreams that are kept in any case for a baseline.
fn min_regular(baseline: u32) -> u32 {
    (f64::from(baseline) * MIN_REGULAR_SHARE).ceil() as u32
}

impl PoolPlan {
    /// Desired number of upstreams of both kinds.
    fn desired_count(&self) -> u32 {
        self.target.unwrap_or(self.baseline)
    }

    /// Regular upstreams that are kept in any case. Upstreams above the baseline do not raise this
    /// minimum, because they are of the cheaper reclaimable kind.
    fn min_regular(&self) -> u32 {
        min_regular(self.desired_count().min(self.baseline))
    }

    /// Upstreams of both kinds that are planned for the baseline.
    fn planned_for_baseline(&self, capacity: &PoolCapacity, domains: u32) -> u32 {
        match capacity.reclaimable_price {
            Some(price) if domains > 1 => {
                let reclaimable = self.reclaimable_for_baseline(domains, price);
                (min_regular(self.baseline) + reclaimable).min(capacity.max)
            }
            _ => self.baseline,
        }
    }

    /// Upstreams of both kinds that must remain after a loss. The number does not exceed the
    /// baseline, because the regular upstreams that fill the gap are expensive.
    fn min_after_loss(&self) -> u32 {
        let min_left =
            |target| (f64::from(target) * capacity_target::MIN_SHARE_AFTER_LOSS).ceil() as u32;
        self.target
            .map_or(self.baseline, |target| min_left(target).min(self.baseline))
    }

    /// Returns the time in which an order was filled, once per order.
    fn take_start_time(&mut self, now: Time, capacity: &PoolCapacity) -> Option<Duration> {
        let ready = [
            (true, capacity.reclaimable_ready),
            (false, capacity.regular_ready),
        ];
        let mut filled = None;
        for (is_reclaimable, ready) in ready {
            if let Some(ordered) = self.last_orders.get_mut(&is_reclaimable)
                && ordered.is_pending
                && ready >= ordered.count
            {
                ordered.is_pending = false;
                filled = Some(now.since(ordered.placed_at));
            }
        }
        filled
    }

    /// Orders for a pool, each as whether the kind is reclaimable and the desired count.
    ///
    /// `gap_fill` is the number of regular upstreams wanted above the minimum.
    fn next_orders(
        &mut self,
        now: Time,
        capacity: &PoolCapacity,
        domains: u32,
        gap_fill: u32,
    ) -> Vec<(bool, u32)> {
        let ready = capacity.regular_ready.min(capacity.max);
        if self.last_orders.is_empty() && ready > self.baseline {
            self.baseline = ready;
            self.last_growth = now;
        }
        let is_settled =
            self.baseline > 0 && now.since(self.last_growth) >= REGISTRATION_SETTLE_TIME;
        let price = capacity.reclaimable_price.filter(|price| *price < 1.0);
        let Some(price) = price.filter(|_| is_settled && domains > 1) else {
            return Vec::new();
        };
        let mut orders = Vec::new();
        if now >= self.backoff_until {
            let regular = self.last_orders.get(&false).map(|ordered| ordered.count);
            let regular = regular.unwrap_or(capacity.regular_ready);
            let max_reclaimable = capacity.max.saturating_sub(regular);
            let count = match self.target {
                Some(target) => target - self.min_regular(),
                None => self.reclaimable_for_baseline(domains, price),
            };
            let count = count.min(max_reclaimable);
            orders.extend(self.order_unless_covered(now, true, count, capacity.reclaimable_ready));
        }
        let count = self.min_regular() + gap_fill;
        orders.extend(self.regular_order(now, capacity, count));
        orders
    }

    /// Reclaimable upstreams planned for the baseline. The regular upstreams and the reclaimable
    /// ones of all domains but one must reach the baseline of all domains. More are planned if the
    /// budget allows.
    fn reclaimable_for_baseline(&self, domains: u32, price: f64) -> u32 {
        let base = min_regular(self.baseline);
        let missing = (self.baseline - base) * domains;
        let least = missing.div_ceil(domains - 1);
        let budget = f64::from(self.baseline) * BUDGET_SHARE - f64::from(base);
        let affordable = (budget / price).max(0.0) as u32;
        least.max(affordable)
    }

    fn regular_order(
        &mut self,
        now: Time,
        capacity: &PoolCapacity,
        count: u32,
    ) -> Option<(bool, u32)> {
        let ordered = self.last_orders.get(&false).map(|ordered| ordered.count);
        let present = ordered.unwrap_or(capacity.regular_ready);
        if count >= present {
            self.surplus_since = None;
            return self.order_unless_covered(now, false, count, capacity.regular_ready);
        }
        let since = *self.surplus_since.get_or_insert(now);
        if now.since(since) < REGULAR_SCALE_DOWN_DELAY {
            return None;
        }
        self.order_unless_covered(now, false, count, capacity.regular_ready)
    }

    /// Returns an order for a kind, unless the same order was placed already and is filled or may
    /// still be filled.
    fn order_unless_covered(
        &self,
        now: Time,
        is_reclaimable: bool,
        count: u32,
        ready: u32,
    ) -> Option<(bool, u32)> {
        let is_covered = match self.last_orders.get(&is_reclaimable) {
            Some(ordered) => {
                let is_ready_or_pending =
                    ready >= count || now.since(ordered.placed_at) < ORDER_RETRY_INTERVAL;
                ordered.count == count && is_ready_or_pending
            }
            None => ready == count,
        };
        (!is_covered).then_some((is_reclaimable, count))
    }
}
