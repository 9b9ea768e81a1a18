use super::*;

/// Windows that are kept while they are not known to be reported.
const MAX_UNREPORTED_WINDOWS: usize = 6;

/// Own readings of the time of day from which the time is taken while no holder tells it.
const MAX_OWN_READINGS: usize = 60;

/// Time for which a holder's word on the time counts.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(30);

/// Requests of each team that began to run on this host's account, by window.
#[derive(Debug, Default)]
pub(crate) struct UsageCounts {
    /// Own Unix time less steady time, in milliseconds, the newest last.
    own_offsets_ms: VecDeque<i64>,
    reported_through: Option<u64>,
    /// The holder's Unix time less steady time, in milliseconds, and when it was announced.
    announced_offset_ms: Option<(Time, i64)>,
    windows: BTreeMap<u64, BTreeMap<TeamId, u32>>,
}

impl UsageCounts {
    /// Takes a reading of this host's time of day.
    pub(crate) fn record_own_time(&mut self, now: Time, unix_ms: u64) {
        let offset_ms = unix_ms as i64 - median_clock::steady_ms(now);
        self.own_offsets_ms.push_back(offset_ms);
        if self.own_offsets_ms.len() > MAX_OWN_READINGS {
            self.own_offsets_ms.pop_front();
        }
    }

    /// Takes the holder's word on the time and on what was reported.
    pub(crate) fn update_from_holder(&mut self, now: Time, unix_ms: u64, reported_through: u64) {
        self.announced_offset_ms = Some((now, unix_ms as i64 - median_clock::steady_ms(now)));
        self.reported_through = Some(reported_through);
        self.windows.retain(|window, _| *window > reported_through);
    }

    /// Counts a request that began to run at a moment.
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

    /// What is to be announced to other hosts: totals, so that a lost or doubled message does no
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

    /// The holder's word, or the median of the own readings: one that jumps for some seconds
    /// does not move it.
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
