use super::*;

/// Window over which the number of busy upstreams is measured. Long prompts arrive one at a time,
/// so a shorter window would show few or none of them.
const SAMPLE_WINDOW: Duration = Duration::from_secs(3);

/// Shortest window over which the number of busy upstreams is measured.
const MIN_SAMPLE_WINDOW: Duration = Duration::from_secs(2);

/// Time for which a measurement counts towards the peak. The window spans the waves of a periodic
/// load, so that no upstreams are released in a trough that the next wave needs.
const PEAK_WINDOW: Duration = Duration::from_secs(20);

/// Greatest rise that is added to the forecast, as a fraction of the current load. A steeper rise
/// is a burst, which ends before an upstream has started.
const MAX_RELATIVE_RISE: f64 = 1.0;

/// Forecasts how many upstreams of a service will be busy.
///
/// The forecast covers loads that come in waves, and loads that rise within the time that an
/// upstream takes to start.
#[derive(Debug, Default)]
pub struct DemandForecast {
    /// When demand was first observed.
    first_demand: Option<Time>,
    /// Number of busy upstreams over time, the latest last.
    busy_samples: VecDeque<(Time, f64)>,
    /// Total prefill work sent to upstreams over time, in milliseconds, the latest last.
    total_samples_ms: VecDeque<(Time, f64)>,
}

impl DemandForecast {
    /// Records the current demand. `slots` is the number of requests that an upstream runs
    /// concurrently.
    pub fn record(&mut self, now: Time, demand: &ObservedDemand, slots: u32) {
        self.total_samples_ms.push_back((now, demand.total_ms));
        while self.total_samples_ms.len() > 2
            && now.since(self.total_samples_ms[1].0) >= SAMPLE_WINDOW
        {
            self.total_samples_ms.pop_front();
        }
        let (since, before_ms) = self.total_samples_ms[0];
        let span = now.since(since);
        if span < MIN_SAMPLE_WINDOW {
            return;
        }
        let prefill = (demand.total_ms - before_ms) / demand_ledger::millis(span);
        let running = f64::from(demand.in_flight) / f64::from(slots.max(1));
        let busy = prefill.max(running).max(0.0);
        if busy > 0.0 {
            self.first_demand.get_or_insert(now);
        }
        self.busy_samples.push_back((now, busy));
        self.busy_samples
            .retain(|(noted, _)| now.since(*noted) <= PEAK_WINDOW);
    }

    /// Records that demand is currently not observed, and drops the totals. Work that hosts report
    /// later for this time arrives at once and would look like a burst.
    pub fn note_unobserved(&mut self) {
        self.total_samples_ms.clear();
    }

    /// Whether demand was observed for long enough to tell the troughs of the load from its peaks.
    pub fn has_full_window(&self, now: Time) -> bool {
        self.first_demand
            .is_some_and(|first_demand| now.since(first_demand) >= PEAK_WINDOW)
    }

    /// Number of upstreams that are busy now.
    pub fn busy(&self) -> f64 {
        self.busy_samples.back().map_or(0.0, |(_, busy)| *busy)
    }

    /// Number of upstreams that are busy on average.
    pub fn average_busy(&self) -> f64 {
        let sum: f64 = self.busy_samples.iter().map(|(_, busy)| busy).sum();
        sum / self.busy_samples.len().max(1) as f64
    }

    /// Greatest number of upstreams that are expected to be busy until an upstream ordered now has
    /// started, which takes `start_time`.
    pub fn peak_busy(&self, start_time: Duration) -> f64 {
        let samples = self.busy_samples.iter().map(|(_, busy)| *busy);
        let peak = samples.fold(0.0, f64::max);
        let Some((now, busy)) = self.busy_samples.back() else {
            return peak;
        };
        // A rise below the peak is part of a wave that the peak already covers.
        if *busy < peak {
            return peak;
        }
        let before = self.busy_samples.iter().rev();
        let before = before
            .take_while(|(noted, _)| now.since(*noted) <= SAMPLE_WINDOW)
            .last();
        let rise = before.map_or(0.0, |(noted, before)| {
            let span = now.since(*noted).max(MIN_SAMPLE_WINDOW);
            (busy - before) / span.as_secs_f64() * start_time.as_secs_f64()
        });
        peak + rise.clamp(0.0, busy * MAX_RELATIVE_RISE)
    }
}
