use super::*;

/// How long changes are kept; a load report that is older is of no use.
const RETENTION: Duration = Duration::from_secs(3);

/// How many requests a host had on an upstream at each moment of the last
/// seconds.
///
/// What goes wrong without it: a load report shows the upstream as it was some
/// time ago. Taken against the requests of now, the host's own that ended since
/// count as those of others, and their slots stand idle until the next report.
#[derive(Debug, Default)]
pub(crate) struct InFlightHistory {
    changes: VecDeque<(Time, u32)>,
}

impl InFlightHistory {
    pub(crate) fn note(&mut self, in_flight: u32, now: Time) {
        self.changes.push_back((now, in_flight));
        while self.changes.len() > 1 && now.since(self.changes[1].0) > RETENTION {
            self.changes.pop_front();
        }
    }

    /// Requests at a moment: those of the last change before it.
    pub(crate) fn at(&self, moment: Time) -> u32 {
        let before = self.changes.iter().rev().find(|(at, _)| *at <= moment);
        let known = before.or(self.changes.front());
        known.map_or(0, |(_, in_flight)| *in_flight)
    }
}
