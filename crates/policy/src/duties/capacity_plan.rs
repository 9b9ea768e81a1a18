use super::*;

/// Time for which no further upstream must have come before their number counts as what the
/// operator wants: they register one after the other.
const REGISTRATION_SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Time without a further order for reclaimable upstreams after one was refused. It doubles
/// each time …
const INITIAL_REFUSAL_BACKOFF: Duration = Duration::from_secs(4);

/// … up to this: where none can be had for long, each try is a call that gains nothing.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(8);

/// Part of the wanted upstreams of a domain that stays regular, so that a domain keeps some
/// whatever is taken away.
const MIN_REGULAR_SHARE: f64 = 0.1;

/// Part of the price of the wanted upstreams, all of them regular, that is spent: what is
/// saved on cheaper ones buys more of them, for bursts.
const BUDGET_SHARE: f64 = 0.6;

/// Upstreams of a service up to which one kind takes the place of the other: each that comes
/// or goes is announced to all hosts, and thousands at once would hold up what they must learn in
/// time.
const MAX_REPLACEABLE: u32 = 200;

/// Time for which enough reclaimable upstreams must be ready before regular ones are given
/// up: those are lost with what they keep.
const REGULAR_SCALE_DOWN_DELAY: Duration = Duration::from_millis(1_500);

/// Time after which an order that was not filled is made again.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_secs(8);

/// What is listed of the upstreams of one service in one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolCapacity {
    /// The failure domain.
    pub domain: FailureDomainId,
    /// Most upstreams of both kinds together.
    pub max: u32,
    /// Fewest upstreams of both kinds together.
    pub min: u32,
    /// The model, where the upstreams are engines.
    pub model: Option<ModelId>,
    /// Price of a regular upstream, beside that of other failure domains.
    pub price: Option<f64>,
    /// Price of a reclaimable upstream as a part of that of a regular one; `None` if there
    /// are none.
    pub reclaimable_price: Option<f64>,
    /// Reclaimable upstreams that take work.
    pub reclaimable_ready: u32,
    /// Regular upstreams that take work.
    pub regular_ready: u32,
    /// The service.
    pub service: ServiceId,
    /// Requests that an upstream runs at once.
    pub slots: u32,
    /// Time that an upstream takes to start, as the operator names it.
    pub start_time: Option<Duration>,
}

/// An order for upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CapacityOrder {
    /// How many there should be of this kind.
    pub count: u32,
    /// Where.
    pub domain: FailureDomainId,
    /// Whether they are of the kind that may be reclaimed.
    pub is_reclaimable: bool,
    /// Of which service.
    pub service: ServiceId,
}

/// Decides how many upstreams of each kind there should be.
///
/// The number that was there at the start is kept over all failure domains, also after all
/// reclaimable upstreams of one of them are taken away, until it is known what is asked for;
/// then a number that follows it. Where reclaimable ones are cheaper they take the place of
/// most regular ones, once they are ready. Regular ones are ordered at once where too few
/// reclaimable ones are left.
#[derive(Debug, Default)]
pub struct CapacityPlan {
    pools: BTreeMap<(ServiceId, FailureDomainId), PoolPlan>,
    services: BTreeMap<ServiceId, ServiceDemand>,
}

#[derive(Debug, Default)]
struct PoolPlan {
    /// When the wanted number last grew.
    last_growth: Time,
    last_orders: BTreeMap<bool, PlacedOrder>,
    refusal_backoff: Option<Duration>,
    backoff_until: Time,
    /// Since when enough reclaimable upstreams are ready.
    surplus_since: Option<Time>,
    /// Upstreams of both kinds by what is asked for, once that is known.
    target: Option<u32>,
    /// Upstreams that the operator wants, as they were there at the start.
    baseline: u32,
}

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    placed_at: Time,
    count: u32,
    /// Whether upstreams of it are still to come.
    is_pending: bool,
}

impl CapacityPlan {
    /// Upstreams that are wanted, by service and failure domain, for a host that takes over.
    pub fn baselines(&self) -> Vec<(ServiceId, FailureDomainId, u32)> {
        let pools = self.pools.iter();
        pools
            .map(|((service, domain), pool)| (service.clone(), domain.clone(), pool.baseline))
            .collect()
    }

    /// Goes on from what an earlier holder wanted.
    pub fn restore_baselines(&mut self, baselines: Vec<(ServiceId, FailureDomainId, u32)>) {
        for (service, domain, count) in baselines {
            let pool = self.pools.entry((service, domain)).or_default();
            pool.baseline = pool.baseline.max(count);
        }
    }

    /// Upstreams by what is asked for, where that is known, for a host that takes over.
    pub fn targets(&self) -> Vec<(ServiceId, FailureDomainId, u32)> {
        let pools = self.pools.iter();
        pools
            .filter_map(|((service, domain), pool)| {
                Some((service.clone(), domain.clone(), pool.target?))
            })
            .collect()
    }

    /// Goes on from what an earlier holder found was asked for.
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

    /// Takes what is asked for of all models; `None` where that is not known now.
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

    /// Demand of a service, as far as it is known.
    pub fn demand_view(&self, service: &ServiceId, pools: &[PoolCapacity]) -> Option<DemandView> {
        let of_service = service_pools(pools, service);
        Some(self.services.get(service)?.view(&of_service))
    }

    /// Upstreams that are wanted of a service in a failure domain now.
    pub fn desired_count(&self, service: &ServiceId, domain: &FailureDomainId) -> u32 {
        let pool = self.pools.get(&(service.clone(), domain.clone()));
        pool.map_or(0, PoolPlan::desired_count)
    }

    /// Upstreams that are kept of a service by the number at the start.
    fn planned_for_baseline(&self, of_service: &[&PoolCapacity]) -> u32 {
        let domains = of_service.len() as u32;
        let kept = of_service.iter().map(|capacity| {
            let plan = self.pools.get(&pool_key(capacity));
            plan.map_or(0, |plan| plan.planned_for_baseline(capacity, domains))
        });
        kept.sum()
    }

    /// Divides a service's upstreams over failure domains. Where they grow none gives any up,
    /// whatever its price.
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

    /// The orders to be made now, given all pools that can be ordered for.
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

    /// Upstreams that are wanted of a service in all domains.
    fn total_baseline(&self, service: &ServiceId) -> u32 {
        let of_service = self.pools.iter().filter(|((of, _), _)| of == service);
        of_service.map(|(_, plan)| plan.baseline).sum()
    }

    /// Regular upstreams that a domain needs beyond those kept in any case, so that all domains
    /// of a service come to what is wanted of them together.
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

    /// An order was taken.
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

    /// An order was refused, as there are none of this kind now.
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

/// Prices by failure domain; `None` where they are missing or absurd.
pub(super) fn domain_prices(of_service: &[&PoolCapacity]) -> Option<DomainPrices> {
    DomainPrices::new(of_service.iter().map(|pool| pool.price))
}

fn pool_key(pool: &PoolCapacity) -> (ServiceId, FailureDomainId) {
    (pool.service.clone(), pool.domain.clone())
}

/// Regular upstreams that are kept in any case.
fn min_regular(baseline: u32) -> u32 {
    (f64::from(baseline) * MIN_REGULAR_SHARE).ceil() as u32
}

impl PoolPlan {
    /// Upstreams of both kinds that are wanted.
    fn desired_count(&self) -> u32 {
        self.target.unwrap_or(self.baseline)
    }

    /// Regular upstreams that are kept in any case: where more than at the start are wanted, the
    /// others are of the cheaper kind.
    fn min_regular(&self) -> u32 {
        min_regular(self.desired_count().min(self.baseline))
    }

    /// Upstreams of both kinds that are kept by the number at the start.
    fn planned_for_baseline(&self, capacity: &PoolCapacity, domains: u32) -> u32 {
        match capacity.reclaimable_price {
            Some(price) if domains > 1 => {
                let reclaimable = self.reclaimable_for_baseline(domains, price);
                (min_regular(self.baseline) + reclaimable).min(capacity.max)
            }
            _ => self.baseline,
        }
    }

    /// Upstreams of both kinds that must be left after a loss: not more than at the start, as
    /// those that fill the gap are dear.
    fn min_after_loss(&self) -> u32 {
        let min_left =
            |target| (f64::from(target) * capacity_target::MIN_SHARE_AFTER_LOSS).ceil() as u32;
        self.target
            .map_or(self.baseline, |target| min_left(target).min(self.baseline))
    }

    /// The time in which an order was filled, once for each.
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

    /// Orders for a pool: whether the kind is reclaimable, and how many.
    ///
    /// `filled` regular ones are wanted beyond those kept in any case.
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

    /// Reclaimable upstreams: those with which all domains but one, and the regular ones, come
    /// to what is wanted of all, and more as far as the price allows.
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

    /// An order for a kind, unless it was made already and filled, or may still be.
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
