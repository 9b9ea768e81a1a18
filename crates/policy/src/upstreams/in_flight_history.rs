use super::*;

/// How long changes are kept. Older load reports are of no use.
const RETENTION: Duration = Duration::from_secs(3);

/// Number of requests that this host had in flight on an upstream over the last seconds.
///
/// A load report shows the upstream's load as it was some time ago. If this host's current requests
/// were subtracted from that load, own requests that have ended since would count as requests of
/// other hosts, and their slots would stay idle until the next report.
#[derive(Debug, Default)]
pub(crate) struct InFlightHistory {
    /// Times of changes, oldest first, each with the number of requests from then on.
    changes: VecDeque<(Time, u32)>,
}

impl InFlightHistory {
    pub(crate) fn note(&mut self, in_flight: u32, now: Time) {
        self.changes.push_back((now, in_flight));
        while self.changes.len() > 1 && now.since(self.changes[1].0) > RETENTION {
            self.changes.pop_front();
        }
    }

    /// Requests in flight at `moment`. Before the first known change the number after that change
    /// is returned.
    pub(crate) fn at(&self, moment: Time) -> u32 {
        let before = self.changes.iter().rev().find(|(at, _)| *at <= moment);
        let known = before.or(self.changes.front());
        known.map_or(0, |(_, in_flight)| *in_flight)
    }
}
