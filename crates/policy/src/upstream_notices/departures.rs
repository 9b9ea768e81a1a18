use super::*;

/// Most upstreams that are remembered; the oldest ones go first.
const MAX_DEPARTURES: usize = 4_096;

/// Time after which one that is listed no more is forgotten.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(3_600);

/// Time between two looks at which ones to forget.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// Incarnations that said that they leave.
///
/// Apart from the upstreams' states: an entry of the directory can lapse and return, and be read
/// from an older copy, while the upstream goes on leaving.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    known: BTreeMap<UpstreamId, KnownDeparture>,
    next_cleanup: Time,
    /// Those that other hosts are still to be notified of.
    unannounced: BTreeSet<UpstreamId>,
}

#[derive(Debug)]
struct KnownDeparture {
    first_hand: bool,
    noted_at: Time,
    announcements: AnnouncementSchedule,
}

impl Departures {
    /// Notes that an upstream said that it leaves; whether that is news.
    pub(crate) fn note(&mut self, upstream: &UpstreamId, source: &NoticeSource, now: Time) -> bool {
        if *source != NoticeSource::Own {
            // The other hosts learn of it in the same way.
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

    /// Lets the other hosts be notified of one from a moment on.
    pub(crate) fn schedule_announcement(&mut self, upstream: &UpstreamId, due: Time) {
        if let Some(departure) = self.known.get_mut(upstream) {
            departure.announcements.schedule_at(due);
            self.unannounced.insert(upstream.clone());
        }
    }

    /// Those that the other hosts are to be notified of now.
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

    /// Whether an upstream leaves; if so, whether that is known first-hand.
    pub(crate) fn first_hand(&self, upstream: &UpstreamId) -> Option<bool> {
        self.known.get(upstream).map(|known| known.first_hand)
    }

    /// Whether any upstream leaves.
    pub(crate) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Forgets old ones that are not listed.
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
