use super::*;

/// Number of sources beyond which expired readings are removed.
const MAX_SOURCES: usize = 1_024;

/// Time for which a reading is valid.
const READING_TTL: Duration = Duration::from_secs(30);

/// Unix time by the median of many hosts' clocks, tracked on the steady clock.
///
/// Guards against hosts whose system time jumps by seconds: a minority of wrong readings does not
/// move the median.
#[derive(Debug, Default)]
pub struct MedianClock {
    /// Latest reading of each source, as Unix time minus steady time in milliseconds.
    offsets_ms: BTreeMap<HostId, (Time, i64)>,
}

impl MedianClock {
    /// Records the Unix time of a source at the steady time `now`.
    pub fn record(&mut self, now: Time, source: HostId, unix_ms: u64) {
        let unix_ms = i64::try_from(unix_ms).unwrap_or(i64::MAX);
        let offset_ms = unix_ms - steady_ms(now);
        self.offsets_ms.insert(source, (now, offset_ms));
        if self.offsets_ms.len() > MAX_SOURCES {
            self.offsets_ms
                .retain(|_, (noted, _)| now.since(*noted) < READING_TTL);
        }
    }

    /// Unix time at the steady time `now`, in milliseconds; `None` without a valid reading.
    pub fn unix_ms(&self, now: Time) -> Option<u64> {
        let fresh = self.offsets_ms.values();
        let fresh = fresh.filter(|(noted, _)| now.since(*noted) < READING_TTL);
        let mut offsets_ms: Vec<i64> = fresh.map(|(_, offset_ms)| *offset_ms).collect();
        offsets_ms.sort_unstable();
        let offset_ms = offsets_ms.get(offsets_ms.len() / 2)?;
        u64::try_from(steady_ms(now).saturating_add(*offset_ms)).ok()
    }
}

pub(super) const fn steady_ms(now: Time) -> i64 {
    (now.as_us() / 1_000) as i64
}
