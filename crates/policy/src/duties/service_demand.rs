use super::*;

/// Demand for one service, and the target number of its upstreams.
#[derive(Debug, Default)]
pub(super) struct ServiceDemand {
    forecast: DemandForecast,
    pub(super) start_time: StartTime,
    pub(super) target: CapacityTarget,
}

/// Demand for a service, as shown in logs and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandView {
    /// Bound that determines the target number of upstreams.
    pub bound: TargetBound,
    /// Number of upstreams that are busy now.
    pub busy: f64,
    /// Greatest number of upstreams that are expected to be busy.
    pub peak_busy: f64,
    /// Whether the prices by failure domain are usable.
    pub has_prices: bool,
}

impl ServiceDemand {
    /// Updates the forecast and the target from the observed demand; `None` if too few hosts are
    /// observed. Returns true if the target changed.
    ///
    /// `baseline` is the number of upstreams at the start, and `planned_for_baseline` the number of
    /// both kinds that is planned for it.
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
