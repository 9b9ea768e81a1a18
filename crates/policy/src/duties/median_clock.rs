use super::*;

/// Sources whose readings are kept.
const MAX_SOURCES: usize = 1_024;

/// Time for which a reading counts.
const READING_TTL: Duration = Duration::from_secs(30);

/// Unix time as most sources have it, on a steady clock.
///
/// Guards against hosts whose time of day jumps by seconds: the median of several readings
/// is not moved by a minority of them.
#[derive(Debug, Default)]
pub struct MedianClock {
    /// Latest reading of each source: Unix time less steady time, in milliseconds.
    offsets_ms: BTreeMap<HostId, (Time, i64)>,
}

impl MedianClock {
    /// Takes a source's Unix time at a moment of the steady clock.
    pub fn record(&mut self, now: Time, source: HostId, unix_ms: u64) {
        let offset_ms = unix_ms as i64 - steady_ms(now);
        self.offsets_ms.insert(source, (now, offset_ms));
        if self.offsets_ms.len() > MAX_SOURCES {
            self.offsets_ms
                .retain(|_, (noted, _)| now.since(*noted) < READING_TTL);
        }
    }

    /// Unix time at a moment, in milliseconds; `None` before any reading.
    pub fn unix_ms(&self, now: Time) -> Option<u64> {
        let fresh = self.offsets_ms.values();
        let fresh = fresh.filter(|(noted, _)| now.since(*noted) < READING_TTL);
        let mut offsets_ms: Vec<i64> = fresh.map(|(_, offset_ms)| *offset_ms).collect();
        offsets_ms.sort_unstable();
        let offset_ms = offsets_ms.get(offsets_ms.len() / 2)?;
        u64::try_from(steady_ms(now) + offset_ms).ok()
    }
}

pub(super) const fn steady_ms(now: Time) -> i64 {
    (now.as_us() / 1_000) as i64
}
