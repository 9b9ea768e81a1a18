use super::*;

/// Maximum number of departures that are kept; the oldest one is evicted first.
const MAX_DEPARTURES: usize = 4_096;

/// Time after which the departure of an upstream that is no longer listed is dropped.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(3_600);

/// Interval at which old departures are dropped.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// Incarnations of upstreams that said that they are leaving.
///
/// Kept apart from the upstreams' states: the directory entry of an upstream can lapse and return,
/// or be read from an older copy, while the upstream is still leaving.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    known: BTreeMap<UpstreamId, KnownDeparture>,
    next_cleanup: Time,
    /// Departures that are still to be announced to other hosts.
    unannounced: BTreeSet<UpstreamId>,
}

#[derive(Debug)]
struct KnownDeparture {
    first_hand: bool,
    noted_at: Time,
    announcements: AnnouncementSchedule,
}

impl Departures {
    /// Records that an upstream said that it is leaving. Returns whether this is news.
    pub(crate) fn note(&mut self, upstream: &UpstreamId, source: &NoticeSource, now: Time) -> bool {
        if *source != NoticeSource::Own {
            // The other hosts learn of the departure from the same source.
            self.unannounced.remove(upstream);
        }
        let first_hand = source.is_first_hand();
        if let Some(known) = self.known.get_mut(upstream) {
            known.first_hand |= first_hand;
            return false;
        }
        self.evict_oldest();
        let departure = KnownDeparture {
            first_hand,
            noted_at: now,
            announcements: AnnouncementSchedule::default(),
        };
        self.known.insert(upstream.clone(), departure);
        true
    }

    /// Schedules the announcements of a departure to the other hosts, the first one at `due`.
    pub(crate) fn schedule_announcement(&mut self, upstream: &UpstreamId, due: Time) {
        if let Some(departure) = self.known.get_mut(upstream) {
            departure.announcements.schedule_at(due);
            self.unannounced.insert(upstream.clone());
        }
    }

    /// Departures that are to be announced to the other hosts now.
    pub(crate) fn take_due(&mut self, now: Time) -> Vec<UpstreamId> {
        let known = &mut self.known;
        let mut due = Vec::new();
        self.unannounced.retain(|id| {
            let Some(departure) = known.get_mut(id) else {
                return false;
            };
            if departure.announcements.take_due(now, None) {
                due.push(id.clone());
            }
            !departure.announcements.is_done()
        });
        due
    }

    /// Whether the departure of an upstream is known first-hand; `None` if it is not leaving.
    pub(crate) fn known_first_hand(&self, upstream: &UpstreamId) -> Option<bool> {
        self.known.get(upstream).map(|known| known.first_hand)
    }

    /// Whether no departure is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Drops old departures of upstreams that are not listed.
    pub(crate) fn drop_expired(&mut self, is_listed: impl Fn(&UpstreamId) -> bool, now: Time) {
        if now < self.next_cleanup {
            return;
        }
        self.next_cleanup = now + CLEANUP_INTERVAL;
        self.known
            .retain(|id, known| now.since(known.noted_at) < DEPARTURE_RETENTION || is_listed(id));
    }

    fn evict_oldest(&mut self) {
        if self.known.len() < MAX_DEPARTURES {
            return;
        }
        let oldest = self.known.iter().min_by_key(|(_, known)| known.noted_at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.known.remove(&id);
        }
    }
}
