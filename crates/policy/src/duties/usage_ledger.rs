use super::*;

/// Time after the end of a window in which the last counts of it arrive.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Time in which a new holder observes all hosts: they tell it their totals once it has sent them
/// that it holds the duties.
const GATHER_TIME: Duration = Duration::from_millis(1_000);

/// Time before a report is due at which it is made without hosts that are not observed.
const FORCED_REPORT_LEAD: Duration = Duration::from_millis(4_000);

/// Time for which a host that is not observed any more is waited for.
const HOST_WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Windows that are kept.
const RETAINED_WINDOWS: u64 = 8;

/// How windows of usage lie in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowRules {
    /// Time after the end of a window at which its report is due.
    pub report_deadline: Duration,
    /// Length of a window; the first one begins with Unix time.
    pub window_length: Duration,
}

impl WindowRules {
    fn window_length_ms(self) -> u64 {
        (self.window_length.as_millis() as u64).max(1)
    }

    /// The window of a moment.
    pub fn window_at(self, unix_ms: u64) -> u64 {
        unix_ms / self.window_length_ms()
    }

    fn end_ms(self, window: u64) -> u64 {
        (window + 1) * self.window_length_ms()
    }
}

/// What is to be reported of one window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// Requests that began, by team.
    pub counts: BTreeMap<TeamId, u64>,
    /// The window.
    pub window: u64,
}

/// Counts of all hosts, as the holder gathers them.
#[derive(Debug)]
pub struct UsageLedger {
    /// When this host began to gather.
    term_start: Option<Time>,
    hosts: BTreeMap<HostId, HostUsage>,
    /// The last window that was frozen for a report.
    reported_through: Option<u64>,
    rules: WindowRules,
    clock: MedianClock,
}

#[derive(Debug, Default)]
struct HostUsage {
    last_received: Time,
    /// Totals of each incarnation: those of a host that started again add up.
    windows: BTreeMap<(u64, Incarnation), BTreeMap<TeamId, u32>>,
}

impl UsageLedger {
    /// An empty ledger.
    pub fn new(rules: WindowRules) -> Self {
        Self {
            term_start: None,
            hosts: BTreeMap::new(),
            reported_through: None,
            rules,
            clock: MedianClock::default(),
        }
    }

    /// Begins a term: reports wait until all hosts had time to tell their totals.
    ///
    /// Guards against a new holder that reports a window from the few hosts that it observed
    /// first.
    pub fn begin_term(&mut self, now: Time) {
        self.term_start = Some(now);
    }

    /// Takes a host's totals. They only grow, so one that was overtaken changes nothing.
    pub fn record(&mut self, now: Time, note: UsageNote) {
        self.clock.record(now, note.host.clone(), note.unix_ms);
        let host = self.hosts.entry(note.host).or_default();
        host.last_received = now;
        for WindowCounts { counts, window } in note.windows {
            let known = host.windows.entry((window, note.incarnation)).or_default();
            for (team, count) in counts {
                let total = known.entry(team).or_default();
                *total = count.max(*total);
            }
        }
    }

    /// Unix time by most hosts, in milliseconds.
    pub fn unix_ms(&self, now: Time) -> Option<u64> {
        self.clock.unix_ms(now)
    }

    /// The last window that was frozen for a report.
    pub const fn reported_through(&self) -> Option<u64> {
        self.reported_through
    }

    /// Goes on after a window that stands in the store.
    pub fn note_reported(&mut self, window: u64) {
        self.reported_through = self.reported_through.max(Some(window));
        let oldest = window.saturating_sub(RETAINED_WINDOWS);
        for host in self.hosts.values_mut() {
            host.windows.retain(|(window, _), _| *window > oldest);
        }
    }

    /// The next report, once all hosts that were observed lately have announced their counts of its
    /// window, or it cannot wait for them any longer.
    pub fn next_report(&mut self, now: Time) -> Option<UsageReport> {
        if self
            .term_start
            .is_some_and(|start| now.since(start) < GATHER_TIME)
        {
            return None;
        }
        let unix_ms = self.unix_ms(now)?;
        let current = self.rules.window_at(unix_ms);
        let window = match self.reported_through {
            Some(reported) => self.skip_expired(reported + 1, unix_ms),
            None => {
                // The first holder of all begins with the window it finds.
                self.reported_through = current.checked_sub(1);
                current
            }
        };
        let end_ms = self.rules.end_ms(window);
        let elapsed_ms = unix_ms.checked_sub(end_ms)?;
        let elapsed = Duration::from_millis(elapsed_ms);
        let wait_limit = self
            .rules
            .report_deadline
            .saturating_sub(FORCED_REPORT_LEAD);
        if elapsed < SETTLE_TIME || (elapsed < wait_limit && !self.is_complete(now, elapsed)) {
            return None;
        }
        Some(self.build_report(window))
    }

    /// Hosts that have announced nothing since the end of a window that ended so long ago.
    pub fn missing_hosts(&self, now: Time, ended: Duration) -> usize {
        let missing = self.hosts.values().filter(|host| {
            let silent = now.since(host.last_received);
            silent >= ended && silent < HOST_WAIT_LIMIT
        });
        missing.count()
    }

    fn is_complete(&self, now: Time, ended: Duration) -> bool {
        self.missing_hosts(now, ended) == 0
    }

    /// The first window from this one on whose report can still come in time.
    fn skip_expired(&self, window: u64, unix_ms: u64) -> u64 {
        let deadline_ms = self.rules.report_deadline.as_millis() as u64;
        let first = self.rules.window_at(unix_ms.saturating_sub(deadline_ms));
        window.max(first)
    }

    fn build_report(&self, window: u64) -> UsageReport {
        let mut counts: BTreeMap<TeamId, u64> = BTreeMap::new();
        let all = self.hosts.values().flat_map(|host| &host.windows);
        for (_, teams) in all.filter(|((of, _), _)| *of == window) {
            for (team, count) in teams {
                *counts.entry(team.clone()).or_default() += u64::from(*count);
            }
        }
        UsageReport { counts, window }
    }
}
