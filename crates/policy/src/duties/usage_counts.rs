use super::*;

/// Number of windows that are kept while they are not known to be reported.
const MAX_UNREPORTED_WINDOWS: usize = 6;

/// Number of this host's own clock readings that are kept. They are used while no holder announces
/// the time.
const MAX_OWN_READINGS: usize = 60;

/// Time for which the time announced by a holder is valid.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(30);

/// Number of requests of each team that this host began to run, by window.
#[derive(Debug, Default)]
pub(crate) struct UsageCounts {
    /// This host's Unix time minus steady time, in milliseconds, the newest reading last.
    own_offsets_ms: VecDeque<i64>,
    reported_through: Option<u64>,
    /// The holder's Unix time minus steady time, in milliseconds, and when it was announced.
    announced_offset_ms: Option<(Time, i64)>,
    windows: BTreeMap<u64, BTreeMap<TeamId, u32>>,
}

impl UsageCounts {
    /// Records a reading of this host's system time.
    pub(crate) fn record_own_time(&mut self, now: Time, unix_ms: u64) {
        let offset_ms = unix_ms as i64 - median_clock::steady_ms(now);
        self.own_offsets_ms.push_back(offset_ms);
        if self.own_offsets_ms.len() > MAX_OWN_READINGS {
            self.own_offsets_ms.pop_front();
        }
    }

    /// Updates the time and the last reported window from an announcement of the holder.
    pub(crate) fn update_from_holder(&mut self, now: Time, unix_ms: u64, reported_through: u64) {
        self.announced_offset_ms = Some((now, unix_ms as i64 - median_clock::steady_ms(now)));
        self.reported_through = Some(reported_through);
        self.windows.retain(|window, _| *window > reported_through);
    }

    /// Counts a request that began to run at `started`.
    pub(crate) fn count_started(
        &mut self,
        started: Time,
        now: Time,
        team: &TeamId,
        window_ms: u64,
    ) {
        let Some(window) = self.window_at(started, now, window_ms) else {
            return;
        };
        if self
            .reported_through
            .is_some_and(|reported| window <= reported)
        {
            return;
        }
        let teams = self.windows.entry(window).or_default();
        *teams.entry(team.clone()).or_default() += 1;
        while self.windows.len() > MAX_UNREPORTED_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Counts to send to the holder. They are totals, so that a lost or repeated message does no
    /// harm.
    pub(crate) fn window_counts(&self) -> Vec<WindowCounts> {
        let windows = self.windows.iter();
        windows
            .map(|(window, counts)| WindowCounts {
                counts: counts
                    .iter()
                    .map(|(team, count)| (team.clone(), *count))
                    .collect(),
                window: *window,
            })
            .collect()
    }

    fn window_at(&self, started: Time, now: Time, window_ms: u64) -> Option<u64> {
        let unix_ms = median_clock::steady_ms(started) + self.offset_ms(now)?;
        u64::try_from(unix_ms).ok()?.checked_div(window_ms)
    }

    /// Offset announced by the holder, or the median of this host's own readings. The median does
    /// not move when the system time jumps for a few seconds.
    fn offset_ms(&self, now: Time) -> Option<i64> {
        let announced = self.announced_offset_ms;
        if let Some((_, offset_ms)) =
            announced.filter(|(announced, _)| now.since(*announced) < ANNOUNCEMENT_TTL)
        {
            return Some(offset_ms);
        }
        let mut offsets_ms: Vec<i64> = self.own_offsets_ms.iter().copied().collect();
        offsets_ms.sort_unstable();
        offsets_ms.get(offsets_ms.len() / 2).copied()
    }
}
