use super::*;

/// Time over which the busy upstreams of a moment are counted: long prompts come singly.
const SAMPLE_WINDOW: Duration = Duration::from_secs(3);

/// Shortest time over which they are.
const MIN_SAMPLE_WINDOW: Duration = Duration::from_secs(2);

/// Time for which the busiest moment counts. It spans the waves of callers that come and go in
/// turns, so that nothing is given up in a trough that the next crest needs.
const PEAK_WINDOW: Duration = Duration::from_secs(20);

/// Most that a rise adds to what is seen, as a part of it: beyond it a rise is a burst, which
/// ends before an upstream starts.
const MAX_RELATIVE_RISE: f64 = 1.0;

/// Forecasts how many upstreams of a service are kept busy.
///
/// Answers loads that come in waves or rise within the time that an upstream takes to start.
#[derive(Debug, Default)]
pub struct DemandForecast {
    /// When demand was seen first.
    first_demand: Option<Time>,
    /// Busy upstreams by moment, the latest last.
    busy_samples: VecDeque<(Time, f64)>,
    /// Reading put on upstreams by moment, in milliseconds, the latest last.
    total_samples_ms: VecDeque<(Time, f64)>,
}

impl DemandForecast {
    /// Takes what is observed now. `slots` are the requests that an upstream runs at once.
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

    /// Notes that demand is not observed now. What hosts tell later of this time comes at once,
    /// and would look like a burst.
    pub fn note_unobserved(&mut self) {
        self.total_samples_ms.clear();
    }

    /// Whether demand was seen for long enough to tell its troughs from its crests.
    pub fn has_full_window(&self, now: Time) -> bool {
        self.first_demand
            .is_some_and(|first_demand| now.since(first_demand) >= PEAK_WINDOW)
    }

    /// Upstreams that are busy now.
    pub fn busy(&self) -> f64 {
        self.busy_samples.back().map_or(0.0, |(_, busy)| *busy)
    }

    /// Upstreams that are busy on average.
    pub fn average_busy(&self) -> f64 {
        let sum: f64 = self.busy_samples.iter().map(|(_, busy)| busy).sum();
        sum / self.busy_samples.len().max(1) as f64
    }

    /// Upstreams that will be busy at the most until one that is ordered now has started.
    pub fn peak_busy(&self, start_time: Duration) -> f64 {
        let samples = self.busy_samples.iter().map(|(_, busy)| *busy);
        let peak = samples.fold(0.0, f64::max);
        let Some((now, busy)) = self.busy_samples.back() else {
            return peak;
        };
        // Below the busiest moment a rise is part of a wave that was seen.
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
