use super::*;

/// What is asked for of one service, and how many upstreams are wanted for it.
#[derive(Debug, Default)]
pub(super) struct ServiceDemand {
    forecast: DemandForecast,
    pub(super) start_time: StartTime,
    pub(super) target: CapacityTarget,
}

/// Demand of a service as logs and metrics show it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandView {
    /// What decides how many upstreams are wanted.
    pub bound: TargetBound,
    /// Upstreams that are busy now.
    pub busy: f64,
    /// Upstreams that will be busy at the most.
    pub peak_busy: f64,
    /// Whether prices by failure domain can be used.
    pub has_prices: bool,
}

impl ServiceDemand {
    /// Takes what is observed now; `None` where too few hosts tell it. True if the wanted
    /// number changed.
    ///
    /// `at_start` are the upstreams of the start, `by_start` those that are kept for them.
    pub(super) fn update(
        &mut self,
        now: Time,
        demand: Option<&ObservedDemand>,
        pools: &[&PoolCapacity],
        baseline: u32,
        planned_for_baseline: u32,
        shares: &[f64],
    ) -> bool {
        let Some(demand) = demand else {
            self.forecast.note_unobserved();
            self.target.note_demand_unknown();
            return false;
        };
        let slots = pools.iter().map(|pool| pool.slots).max();
        self.forecast.record(now, demand, slots.unwrap_or_default());
        if baseline == 0 || self.forecast.busy() <= 0.0 {
            self.target.note_demand_unknown();
            return false;
        }
        if self.target.count().is_none() {
            self.target.set_initial(planned_for_baseline);
        }
        let max_domain_share = shares.iter().copied().fold(0.0, f64::max);
        let ready = pools.iter();
        let ready = ready.map(|pool| pool.regular_ready + pool.reclaimable_ready);
        let need = CapacityNeed {
            baseline,
            peak_busy: self.peak_busy(pools),
            max_domain_share,
            is_history_short: !self.forecast.has_full_window(now),
            ready: ready.sum(),
            average_busy: self.forecast.average_busy(),
            waiting_ms: demand.waiting_ms,
        };
        self.target.update(now, &need)
    }

    fn peak_busy(&self, pools: &[&PoolCapacity]) -> f64 {
        let configured = pools.iter().find_map(|pool| pool.start_time);
        self.forecast
            .peak_busy(self.start_time.estimate(configured))
    }

    pub(super) fn view(&self, pools: &[&PoolCapacity]) -> DemandView {
        DemandView {
            bound: self.target.bound(),
            peak_busy: self.peak_busy(pools),
            busy: self.forecast.busy(),
            has_prices: capacity_plan::domain_prices(pools).is_some(),
        }
    }
}
