use super::*;

/// Time after the end of a window in which the last counts for the window arrive.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Time in which a new holder receives the totals of all hosts. The hosts send their totals after
/// the holder has announced that it holds the duties.
const GATHER_TIME: Duration = Duration::from_millis(1_000);

/// Time before the deadline of a report at which the report is made without the missing hosts.
const FORCED_REPORT_LEAD: Duration = Duration::from_millis(4_000);

/// Time for which a report waits for a silent host.
const HOST_WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Number of windows that are kept, up to the last reported one.
const RETAINED_WINDOWS: u64 = 8;

/// Length of the usage windows and deadline of their reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowRules {
    /// Time from the end of a window to the deadline of its report.
    pub report_deadline: Duration,
    /// Length of a window. The first window begins at Unix time zero.
    pub window_length: Duration,
}

impl WindowRules {
    fn window_length_ms(self) -> u64 {
        (self.window_length.as_millis() as u64).max(1)
    }

    /// Number of the window that contains a Unix time.
    pub fn window_at(self, unix_ms: u64) -> u64 {
        unix_ms / self.window_length_ms()
    }

    fn end_ms(self, window: u64) -> u64 {
        window
            .saturating_add(1)
            .saturating_mul(self.window_length_ms())
    }
}

/// Usage report of one window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UsageReport {
    /// Requests that began to run, by team.
    pub counts: BTreeMap<TeamId, u64>,
    /// Number of the window.
    pub window: u64,
}

/// Sums the counts of all hosts on the host that holds the duties.
#[derive(Debug)]
pub struct UsageLedger {
    /// When the term of this host began.
    term_start: Option<Time>,
    hosts: BTreeMap<HostId, HostUsage>,
    /// Last window whose report is fixed.
    reported_through: Option<u64>,
    rules: WindowRules,
    clock: MedianClock,
}

#[derive(Debug, Default)]
struct HostUsage {
    last_received: Time,
    /// Totals of each window and incarnation. The totals of a host's incarnations are added up.
    windows: BTreeMap<(u64, Incarnation), BTreeMap<TeamId, u32>>,
}

impl UsageLedger {
    /// Creates an empty ledger.
    pub fn new(rules: WindowRules) -> Self {
        Self {
            term_start: None,
            hosts: BTreeMap::new(),
            reported_through: None,
            rules,
            clock: MedianClock::default(),
        }
    }

    /// Begins a term. Reports wait until all hosts had time to send their totals.
    ///
    /// Without the wait, a new holder would report a window from only the first hosts that it
    /// observes.
    pub fn begin_term(&mut self, now: Time) {
        self.term_start = Some(now);
    }

    /// Records the totals of a host. Totals only grow, so a message that arrives out of order
    /// changes nothing.
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

    /// Unix time by the clocks of most hosts, in milliseconds.
    pub fn unix_ms(&self, now: Time) -> Option<u64> {
        self.clock.unix_ms(now)
    }

    /// Last window whose report is fixed.
    pub const fn reported_through(&self) -> Option<u64> {
        self.reported_through
    }

    /// Records that the report of a window is in the store. Later reports begin after this window.
    pub fn note_reported(&mut self, window: u64) {
        self.reported_through = self.reported_through.max(Some(window));
        let oldest = window.saturating_sub(RETAINED_WINDOWS);
        for host in self.hosts.values_mut() {
            host.windows.retain(|(window, _), _| *window > oldest);
        }
    }

    /// Gives up the windows that have ended, because an earlier holder may have reported them.
    /// Returns the last of them; `None` while the time is not known yet.
    pub fn skip_ended_windows(&mut self, now: Time) -> Option<u64> {
        if self.is_gathering(now) {
            return None;
        }
        let current = self.rules.window_at(self.unix_ms(now)?);
        self.note_reported(current.checked_sub(1)?);
        self.reported_through
    }

    /// Next report. It is made once all recently observed hosts have sent their counts of the
    /// window, or when the deadline does not allow a longer wait.
    pub fn next_report(&mut self, now: Time) -> Option<UsageReport> {
        if self.is_gathering(now) {
            return None;
        }
        let unix_ms = self.unix_ms(now)?;
        let current = self.rules.window_at(unix_ms);
        let window = match self.reported_through {
            Some(reported) => self.skip_expired(reported.saturating_add(1), unix_ms),
            None => {
                // Without an earlier report, reporting begins with the current window.
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

    /// Number of hosts that have sent nothing since the end of a window, which ended the duration
    /// `ended` ago.
    pub fn missing_hosts(&self, now: Time, ended: Duration) -> usize {
        let missing = self.hosts.values().filter(|host| {
            let silent = now.since(host.last_received);
            silent >= ended && silent < HOST_WAIT_LIMIT
        });
        missing.count()
    }

    /// Whether the term began so recently that hosts may not have sent their totals yet.
    fn is_gathering(&self, now: Time) -> bool {
        self.term_start
            .is_some_and(|start| now.since(start) < GATHER_TIME)
    }

    fn is_complete(&self, now: Time, ended: Duration) -> bool {
        self.missing_hosts(now, ended) == 0
    }

    /// First window, from `window` on, whose report can still meet its deadline.
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
